"""Limits how many model loads are sent to the weight store per second.

Invariant: within any window no more loads are sent than the store serves in
that time, resends included. The window allows the rate per second rounded
down, but at least one load, and lasts as long as the store needs for these:
one second for a whole-number rate. A new leader treats the window before its
start as full, since it does not know what its predecessor has just sent.
"""

from collections import deque
from itertools import repeat
from typing import Final, final

_WINDOW_S: Final = 1.0


@final
class LoadRateLimiter:
    """A sliding-window rate limiter for model loads."""

    __slots__ = ('_max_loads_per_window', '_sent_at', '_window_s')

    def __init__(self, loads_per_second: float, now: float) -> None:
        """Create a limiter whose window up to now is full."""
        self._max_loads_per_window = max(1, int(loads_per_second))
        self._window_s = (
            _WINDOW_S * self._max_loads_per_window / loads_per_second
        )
        self._sent_at = deque(
            repeat(now, self._max_loads_per_window),
            maxlen=self._max_loads_per_window,
        )

    def can_send(self, now: float) -> bool:
        """Tell whether one more load can be sent now within the rate."""
        return now >= self._sent_at[0] + self._window_s

    def record_send(self, now: float) -> None:
        """Count a load that is sent now against the rate."""
        self._sent_at.append(now)
