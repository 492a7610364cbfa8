"""Dispatch and duration statistics of one target.

`interval_s` is the smoothed interval between dispatches from a queue that
did not become empty. Measured values decay towards a present estimate, so
that a value by which requests are refused does not outlive its cause. The
retry times assigned to refused callers are spaced by `interval_s`, so that
callers do not all return at once.
"""

import math
from typing import Final, final

_SMOOTHING: Final = 0.1
_HALF_LIFE_S: Final = 10.0  # Several typical answer durations.


@final
class TargetStatistics:
    """The dispatch interval and the attempt duration of one target.

    `service_s` is the smoothed duration of completed attempts, None before
    the first.
    """

    __slots__ = (
        '_interval_updated_at',
        '_last_dispatch_at',
        '_last_return_at',
        '_service_updated_at',
        'interval_s',
        'service_s',
    )

    def __init__(self, interval_s: float) -> None:
        """Create statistics from an initial estimate of the interval."""
        self.interval_s = interval_s
        self.service_s: float | None = None
        self._last_dispatch_at: float | None = None
        self._last_return_at = 0.0
        self._interval_updated_at = -math.inf
        self._service_updated_at = -math.inf

    def record_dispatch(self, now: float, *, has_more_waiting: bool) -> None:
        """Update the interval after a dispatch from the queue."""
        if self._last_dispatch_at is not None:
            seen_s = now - self._last_dispatch_at
            self.interval_s += _SMOOTHING * (seen_s - self.interval_s)
            self._interval_updated_at = now
        self._last_dispatch_at = now if has_more_waiting else None

    def decayed_interval_s(self, now: float, estimate_s: float) -> float:
        """Return the interval, decayed towards an estimate by present copies."""
        weight = _decay_weight(now - self._interval_updated_at)
        return weight * self.interval_s + (1 - weight) * estimate_s

    def decayed_service_s(self, now: float) -> float:
        """Return the attempt duration, decayed towards zero."""
        if self.service_s is None:
            return 0
        return _decay_weight(now - self._service_updated_at) * self.service_s

    def record_duration(self, duration_s: float, now: float) -> None:
        """Update the duration after a completed attempt."""
        self._service_updated_at = now
        known_s = duration_s if self.service_s is None else self.service_s
        self.service_s = known_s + _SMOOTHING * (duration_s - known_s)

    def assign_retry_after_s(
        self, now: float, wait_s: float, limit_s: float
    ) -> float:
        """Return after how many seconds a refused caller should retry."""
        soonest = now + max(wait_s, self.interval_s)
        spaced = self._last_return_at + self.interval_s
        self._last_return_at = min(max(soonest, spaced), now + limit_s)
        return self._last_return_at - now


def _decay_weight(age_s: float) -> float:
    """Return the weight of a measurement of the given age."""
    return float(0.5 ** (max(0.0, age_s) / _HALF_LIFE_S))
