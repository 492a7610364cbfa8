"""The forecast of the work of one model.

The level is exponentially smoothed with a time constant of seconds for rises
and a longer one for falls, so that a short dip in demand does not cost a copy.
A rise is extrapolated by its slope. The daily profile holds the usual peak of
each quarter of an hour.
"""

import math
from typing import Final, final

# Time constants of the exponential smoothing of the level and of its slope.
_RISE_TIME_CONSTANT_S: Final = 10.0
_FALL_TIME_CONSTANT_S: Final = 60.0
_SLOPE_TIME_CONSTANT_S: Final = 60.0

# A rise is extrapolated over this time, up to this multiple of the level.
_LOOKAHEAD_S: Final = 90.0
_MAX_GROWTH: Final = 1.5

# The daily profile has a bucket for each quarter of an hour.
_BUCKET_S: Final = 900
_BUCKETS: Final = 96
_DAY_S: Final = _BUCKET_S * _BUCKETS

# Weight of the newest day in the exponential average of a bucket's peak.
_PROFILE_WEIGHT: Final = 0.3


@final
class TargetForecast:
    """Forecasts the work of one model.

    `level` is its smoothed work in busy accelerators, `slope` the smoothed
    change of the level in busy accelerators per second.
    """

    __slots__ = (
        '_current_bucket',
        '_current_bucket_peak',
        '_daily_profile',
        '_last_observed_at',
        'level',
        'slope',
    )

    def __init__(self) -> None:
        """Create a forecast without observations."""
        self.level: float = 0
        self.slope: float = 0
        self._last_observed_at: float | None = None
        self._current_bucket = -1
        self._current_bucket_peak: float = 0
        self._daily_profile: dict[int, float] = {}

    def observe(self, work: float, now: float, wall_clock_s: float) -> None:
        """Update the forecast from the work of the present demand.

        `work` is in busy accelerators.
        """
        elapsed_s = (
            0
            if self._last_observed_at is None
            else now - self._last_observed_at
        )
        if self._last_observed_at is None:
            self.level = work
        self._last_observed_at = now
        if elapsed_s > 0:
            self._update_trend(work, elapsed_s)
        self._update_daily_profile(wall_clock_s)

    def predict(self, wall_clock_s: float) -> float:
        """Return the largest work expected within `_LOOKAHEAD_S` from now."""
        rise = max(0, self.slope) * _LOOKAHEAD_S
        grown = min(self.level + rise, self.level * _MAX_GROWTH)
        ahead = _bucket_of(wall_clock_s + _LOOKAHEAD_S)
        usual = self._daily_profile.get(ahead, 0)
        return max(self.level, grown, usual)

    def _update_trend(self, work: float, elapsed_s: float) -> None:
        before = self.level
        time_constant_s = (
            _RISE_TIME_CONSTANT_S if work > before else _FALL_TIME_CONSTANT_S
        )
        self.level += (work - before) * _smoothing_factor(
            elapsed_s, time_constant_s
        )
        slope = (self.level - before) / elapsed_s
        self.slope += (slope - self.slope) * _smoothing_factor(
            elapsed_s, _SLOPE_TIME_CONSTANT_S
        )

    def _update_daily_profile(self, wall_clock_s: float) -> None:
        bucket = _bucket_of(wall_clock_s)
        if bucket == self._current_bucket:
            self._current_bucket_peak = max(
                self._current_bucket_peak, self.level
            )
            return
        if self._current_bucket >= 0:
            known = self._daily_profile.get(
                self._current_bucket, self._current_bucket_peak
            )
            change = self._current_bucket_peak - known
            self._daily_profile[self._current_bucket] = (
                known + change * _PROFILE_WEIGHT
            )
        self._current_bucket = bucket
        self._current_bucket_peak = self.level


def _bucket_of(wall_clock_s: float) -> int:
    return int(wall_clock_s % _DAY_S) // _BUCKET_S


def _smoothing_factor(elapsed_s: float, time_constant_s: float) -> float:
    return 1 - math.exp(-elapsed_s / time_constant_s)
