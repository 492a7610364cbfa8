"""The action that commits the state or the removal of a copy."""

from typing import final

import msgspec

from persimmonhold.messages import Copy


@final
class CommitCopy(msgspec.Struct, frozen=True):
    """Commit the new state of a copy, or its removal if `gone` is set."""

    copy: Copy
    reason: str
    gone: bool = False
