"""The answered commands of operators.

Invariants: a command that was answered is never run again; within the
retention its first answer is returned, and afterwards it is known to have
expired. Expired ids are kept as digests of eight bytes each, because ids
are free text without an order: only remembering them tells an old id from a
new one. A digest that collides refuses a new command and never repeats an
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
    """Answers by operator and command id, oldest first."""

    __slots__ = ('_limits', 'answered', 'expired')

    def __init__(self, limits: StateMachineLimits) -> None:
        """Create an empty ledger."""
        self.answered: dict[tuple[str, str], CompletedCommand] = {}
        self.expired = DigestSet()
        self._limits = limits

    def find(
        self,
        operator: str,
        command_id: str,
        content_digest: str,
    ) -> CommandResult | CommandStatus | None:
        """Return the first answer, why there is none, or None if new."""
        answered = self.answered.get((operator, command_id))
        if answered is not None:
            if answered.content_digest == content_digest:
                return answered.result
            return CommandStatus.command_id_reused
        if _SEPARATOR.join((operator, command_id)) in self.expired:
            return CommandStatus.command_expired
        return None

    def record(self, command: CompletedCommand) -> None:
        """Keep an answer."""
        key = (command.operator, command.command_id)
        self.answered[key] = command

    def expire(self, now_ms: int) -> None:
        """Move what is beyond the retention to the expired ids."""
        cutoff_ms = now_ms - self._limits.command_retention_ms
        while self.answered:
            key = next(iter(self.answered))
            is_old = self.answered[key].at_ms < cutoff_ms
            if not is_old and len(self.answered) <= self._limits.max_commands:
                return
            self.answered.pop(key)
            self.expired.add(_SEPARATOR.join(key))
