"""Logs how recent an entry's view of the fleet is, and its queue."""

from typing import Final, final

from persimmonhold.fleet import ForwardDispatcher
from persimmonhold.observability import log_event

_INTERVAL_S: Final = 2.0
_MS_PER_S: Final = 1000


@final
class FleetViewLog:
    """Records the updates that an entry applies; logs them at intervals."""

    __slots__ = (
        'applied_at',
        'applied_count',
        'ignored_count',
        'logged_at',
        'longest_gap_s',
    )

    def __init__(self, now: float) -> None:
        """Create a log without any update."""
        self.applied_at = now
        self.longest_gap_s = 0.0
        self._reset(now)

    def record_update(self, now: float, *, is_applied: bool) -> None:
        """Record an update that arrived, and the time since the last one."""
        if not is_applied:
            self.ignored_count += 1
            return
        self.applied_count += 1
        self.longest_gap_s = max(self.longest_gap_s, now - self.applied_at)
        self.applied_at = now

    def log_if_due(self, dispatcher: ForwardDispatcher, now: float) -> None:
        """Write the line of the time since the last one, if it is due."""
        if now < self.logged_at + _INTERVAL_S:
            return
        gap_s = max(self.longest_gap_s, now - self.applied_at)
        waiting = sum(len(queue) for queue in dispatcher.queues.values())
        log_event(
            'fleet_view',
            over_s=round(now - self.logged_at, 2),
            applied_updates=self.applied_count,
            ignored_updates=self.ignored_count,
            longest_gap_ms=round(gap_s * _MS_PER_S, 1),
            list_age_s=round(now - dispatcher.listed_at, 2),
            waiting=waiting,
            running=len(dispatcher.pending) - waiting,
        )
        self._reset(now)

    def _reset(self, now: float) -> None:
        self.logged_at = now
        self.applied_count = 0
        self.ignored_count = 0
        self.longest_gap_s = 0.0
