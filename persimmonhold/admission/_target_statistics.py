"""Dispatch and duration statistics of one target.

`interval_s` is the smoothed interval between dispatches from a queue that
did not become empty. Measured values decay towards a present estimate, so
that a value by which requests are refused does not outlive its cause. The
retry times assigned to refused callers are spaced by `interval_s`, so that
callers do not all return at once.
"""

import math
from typing import Final, final

_SMOOTHING_FACTOR: Final = 0.1
_HALF_LIFE_S: Final = 10.0  # Several typical answer durations.


@final
class TargetStatistics:
    """The dispatch interval and the attempt duration of one target.

    `service_s` is the smoothed duration of completed attempts, None before
    the first.
    """

    __slots__ = (
        '_dispatch_interval_updated_at',
        '_last_dispatch_at',
        '_last_retry_at',
        '_attempt_duration_updated_at',
        'dispatch_interval_s',
        'attempt_duration_s',
    )

    def __init__(self, interval_s: float) -> None:
        """Create statistics from an initial estimate of the interval."""
        self.dispatch_interval_s = interval_s
        self.attempt_duration_s: float | None = None
        self._last_dispatch_at: float | None = None
        self._last_retry_at = 0.0
        self._dispatch_interval_updated_at = -math.inf
        self._attempt_duration_updated_at = -math.inf

    def record_dispatch(self, now: float, *, has_more_waiting: bool) -> None:
        """Update the interval after a dispatch from the queue."""
        if self._last_dispatch_at is not None:
            seen_s = now - self._last_dispatch_at
            self.dispatch_interval_s += _SMOOTHING_FACTOR * (
                seen_s - self.dispatch_interval_s
            )
            self._dispatch_interval_updated_at = now
        self._last_dispatch_at = now if has_more_waiting else None

    def decayed_dispatch_interval_s(
        self, now: float, estimate_s: float
    ) -> float:
        """Return the interval, decayed towards an estimate by present copies."""
        weight = _decay_weight(now - self._dispatch_interval_updated_at)
        return weight * self.dispatch_interval_s + (1 - weight) * estimate_s

    def decayed_attempt_duration_s(self, now: float) -> float:
        """Return the attempt duration, decayed towards zero."""
        if self.attempt_duration_s is None:
            return 0
        return (
            _decay_weight(now - self._attempt_duration_updated_at)
            * self.attempt_duration_s
        )

    def record_attempt_duration(self, duration_s: float, now: float) -> None:
        """Update the duration after a completed attempt."""
        self._attempt_duration_updated_at = now
        known_s = (
            duration_s
            if self.attempt_duration_s is None
            else self.attempt_duration_s
        )
        self.attempt_duration_s = known_s + _SMOOTHING_FACTOR * (
            duration_s - known_s
        )

    def assign_retry_after_s(
        self, now: float, min_wait_s: float, max_wait_s: float
    ) -> float:
        """Return after how many seconds a refused caller should retry."""
        soonest = now + max(min_wait_s, self.dispatch_interval_s)
        spaced = self._last_retry_at + self.dispatch_interval_s
        self._last_retry_at = min(max(soonest, spaced), now + max_wait_s)
        return self._last_retry_at - now


def _decay_weight(age_s: float) -> float:
    """Return the weight of a measurement of the given age."""
    return float(0.5 ** (max(0.0, age_s) / _HALF_LIFE_S))
