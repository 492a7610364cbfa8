"""The table of completed operator commands.

Invariants: a completed command is never run again; within the retention
period a resend receives the first result, and afterwards it is refused as
expired. Expired ids are kept as digests of eight bytes each, because ids are
free text without an order, so that an old id can only be told from a new one
by storing it. A digest collision refuses a new command but never repeats an
old one.
"""

from typing import Final, final

from persimmonhold.control.machine._command_result import CommandResult
from persimmonhold.control.machine._command_status import CommandStatus
from persimmonhold.control.machine._completed_command import CompletedCommand
from persimmonhold.control.machine._digest_set import DigestSet
from persimmonhold.control.machine._state_machine_limits import (
    StateMachineLimits,
)

_SEPARATOR: Final = '\0'


@final
class CommandTable:
    """Completed commands by operator and command id, oldest first."""

    __slots__ = ('_limits', 'completed', 'expired_ids')

    def __init__(self, limits: StateMachineLimits) -> None:
        """Create an empty table."""
        self.completed: dict[tuple[str, str], CompletedCommand] = {}
        self.expired_ids = DigestSet()
        self._limits = limits

    def find(
        self,
        operator: str,
        command_id: str,
        content_digest: str,
    ) -> CommandResult | CommandStatus | None:
        """Return how to answer a command without running it.

        Returns the first result for a resend, a status to refuse the command
        with, or None if the command is new.
        """
        completed = self.completed.get((operator, command_id))
        if completed is not None:
            if completed.content_digest == content_digest:
                return completed.result
            return CommandStatus.command_id_reused
        if _SEPARATOR.join((operator, command_id)) in self.expired_ids:
            return CommandStatus.command_expired
        return None

    def record_command(self, command: CompletedCommand) -> None:
        """Store a completed command with its result."""
        key = (command.operator, command.command_id)
        self.completed[key] = command

    def expire_commands(self, now_ms: int) -> None:
        """Keep only the id digests of commands beyond the retention limits."""
        cutoff_ms = now_ms - self._limits.command_retention_ms
        while self.completed:
            key = next(iter(self.completed))
            is_old = self.completed[key].at_ms < cutoff_ms
            if not is_old and len(self.completed) <= self._limits.max_commands:
                return
            self.completed.pop(key)
            self.expired_ids.add(_SEPARATOR.join(key))
