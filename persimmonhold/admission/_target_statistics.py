"""Dispatch and duration statistics of one target.

The statistics predict how long a further request would wait and run. Old
measurements lose weight, so that requests are not refused for the sake of a
value that no longer holds. Refused callers are told to retry at different
times, so that they do not all return at once.
"""

import math
from typing import Final, final

# Weight of the newest sample in an exponential average.
_SMOOTHING_FACTOR: Final = 0.1
# The weight of a measurement halves in this time, which is several times the
# duration of a typical answer.
_HALF_LIFE_S: Final = 10.0


@final
class TargetStatistics:
    """The dispatch interval and the attempt duration of one target.

    `dispatch_interval_s` is the smoothed interval between dispatches from a
    queue that did not become empty in between. `attempt_duration_s` is the
    smoothed duration of completed attempts, None before the first.
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
        """Update the dispatch interval after a dispatch from the queue.

        `has_more_waiting` tells whether the queue still holds requests.
        """
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
        """Return the mean of the measured interval and an estimate.

        The weight of the measured interval decreases with its age.
        """
        weight = _decay_weight(now - self._dispatch_interval_updated_at)
        return weight * self.dispatch_interval_s + (1 - weight) * estimate_s

    def decayed_attempt_duration_s(self, now: float) -> float:
        """Return the smoothed attempt duration times its decaying weight.

        The result falls towards zero while no attempt completes; it is 0
        before the first completed attempt.
        """
        if self.attempt_duration_s is None:
            return 0
        return (
            _decay_weight(now - self._attempt_duration_updated_at)
            * self.attempt_duration_s
        )

    def record_attempt_duration(self, duration_s: float, now: float) -> None:
        """Update the attempt duration after a completed attempt."""
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
        """Return after how many seconds a refused caller should retry.

        This is at least `min_wait_s` and one dispatch interval later than the
        time assigned to the last caller, but at most `max_wait_s`.
        """
        soonest = now + max(min_wait_s, self.dispatch_interval_s)
        spaced = self._last_retry_at + self.dispatch_interval_s
        self._last_retry_at = min(max(soonest, spaced), now + max_wait_s)
        return self._last_retry_at - now


def _decay_weight(age_s: float) -> float:
    """Return the weight of a measurement, from 1 (new) down to 0."""
    return float(0.5 ** (max(0.0, age_s) / _HALF_LIFE_S))
