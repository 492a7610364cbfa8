"""The action that commits the state or the removal of a copy."""

from typing import final

import msgspec

from persimmonhold.messages import Copy


@final
class CommitCopy(msgspec.Struct, frozen=True):
    """Commit a copy in its new state, or if `gone`, remove its record."""

    copy: Copy
    reason: str
    gone: bool = False
