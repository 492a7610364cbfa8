"""The action that commits the state of a copy."""

from typing import final

import msgspec

from persimmonhold.messages import Copy


@final
class CommitCopy(msgspec.Struct, frozen=True):
    """Commit a copy in its new state, or that it is gone."""

    copy: Copy
    reason: str
    gone: bool = False
