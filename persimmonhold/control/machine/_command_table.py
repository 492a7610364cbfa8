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

    __slots__ = ('_limits', 'answered', 'expired')

    def __init__(self, limits: StateMachineLimits) -> None:
        """Create an empty table."""
        self.answered: dict[tuple[str, str], CompletedCommand] = {}
        self.expired = DigestSet()
        self._limits = limits

    def find(
        self,
        operator: str,
        command_id: str,
        content_digest: str,
    ) -> CommandResult | CommandStatus | None:
        """Return the first result, a refusal status, or None if new."""
        answered = self.answered.get((operator, command_id))
        if answered is not None:
            if answered.content_digest == content_digest:
                return answered.result
            return CommandStatus.command_id_reused
        if _SEPARATOR.join((operator, command_id)) in self.expired:
            return CommandStatus.command_expired
        return None

    def record(self, command: CompletedCommand) -> None:
        """Store a completed command with its result."""
        key = (command.operator, command.command_id)
        self.answered[key] = command

    def expire(self, now_ms: int) -> None:
        """Reduce commands beyond the retention limits to expired ids."""
        cutoff_ms = now_ms - self._limits.command_retention_ms
        while self.answered:
            key = next(iter(self.answered))
            is_old = self.answered[key].at_ms < cutoff_ms
            if not is_old and len(self.answered) <= self._limits.max_commands:
                return
            self.answered.pop(key)
            self.expired.add(_SEPARATOR.join(key))
