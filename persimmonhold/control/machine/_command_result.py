"""What a command returns."""

from typing import final

import msgspec

from persimmonhold.control.machine._command_status import CommandStatus
from persimmonhold.messages import CallOutcome


@final
class CommandResult(msgspec.Struct, frozen=True, kw_only=True):
    """Status, log index and the revision now in force.

    `claim` and `outcome` are set by commands about claims.
    """

    index: int
    status: CommandStatus
    revision: int = 0
    entry_revision: int = 0
    claim: int = 0
    outcome: CallOutcome | None = None
    detail: str = ''
