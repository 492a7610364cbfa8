"""Keeps loads from the weight store within its rate.

Invariant: over any window, loads begin no more often than `burst` plus the
rate times the window. A new giver of orders starts without a burst, since
it does not know what the last one has used.
"""

from typing import Final, final

_BURST: Final = 2.0  # loads; three may begin beyond the rate in a window
_RATE_SHARE: Final = 0.9  # the rest is for loads that begin late


@final
class StoreLoadLimiter:
    """A token bucket of loads from the store."""

    __slots__ = ('tokens', 'updated_at')

    def __init__(self, now: float) -> None:
        """Create an empty bucket."""
        self.tokens = 0.0
        self.updated_at = now

    def can_start(self, loads_per_s: float, now: float) -> bool:
        """Tell whether a load may begin now."""
        elapsed_s = max(0, now - self.updated_at)
        self.updated_at = now
        earned = elapsed_s * loads_per_s * _RATE_SHARE
        self.tokens = min(_BURST, self.tokens + earned)
        return self.tokens >= 1

    def record_start(self) -> None:
        """Count a load that begins."""
        self.tokens -= 1
