"""Logs how much work the fleet controller does."""

from typing import Final, final

from persimmonhold.observability import log_event

_INTERVAL_S: Final = 2.0
_MS_PER_S: Final = 1000


@final
class FleetWorkLog:
    """Counts planning rounds, updates and reports; logs them at intervals."""

    __slots__ = (
        'logged_at',
        'longest_plan_s',
        'plan_count',
        'plan_s',
        'report_count',
        'update_bytes',
        'update_count',
    )

    def __init__(self, now: float) -> None:
        """Create counters that are all zero."""
        self.longest_plan_s = 0.0
        self._reset(now)

    def record_plan(self, taken_s: float) -> None:
        """Count a planning round, which holds the event loop."""
        self.plan_count += 1
        self.plan_s += taken_s
        self.longest_plan_s = max(self.longest_plan_s, taken_s)

    def record_update(self, size: int) -> None:
        """Count an update of `size` bytes to an entry."""
        self.update_count += 1
        self.update_bytes += size

    def log_if_due(self, now: float) -> None:
        """Write the line of the time since the last one, if it is due."""
        if now < self.logged_at + _INTERVAL_S:
            return
        log_event(
            'fleet_work',
            over_s=round(now - self.logged_at, 2),
            plans=self.plan_count,
            plan_ms=round(self.plan_s * _MS_PER_S, 1),
            longest_plan_ms=round(self.longest_plan_s * _MS_PER_S, 1),
            updates=self.update_count,
            update_bytes=self.update_bytes,
            reports=self.report_count,
        )
        self._reset(now)

    def _reset(self, now: float) -> None:
        self.logged_at = now
        self.plan_count = 0
        self.plan_s = 0.0
        self.longest_plan_s = 0.0
        self.update_count = 0
        self.update_bytes = 0
        self.report_count = 0
