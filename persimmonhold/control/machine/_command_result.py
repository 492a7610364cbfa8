"""The result of a command."""

from typing import final

import msgspec

from persimmonhold.control.machine._command_status import CommandStatus
from persimmonhold.messages import CallOutcome


@final
class CommandResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of applying a command at log index `index`.

    `revision` is that of the catalogue afterwards. `entry_revision` is that of
    the entry if a put or delete was done or met a revision conflict, else 0.

    `claim` (the log index of the claim) and `outcome` are set by `ClaimKey`.
    """

    index: int
    status: CommandStatus
    revision: int = 0
    entry_revision: int = 0
    claim: int = 0
    outcome: CallOutcome | None = None
    detail: str = ''
