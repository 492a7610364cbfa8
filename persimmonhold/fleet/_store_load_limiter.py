"""Limits the rate of loads from the weight store.

Invariant: in any window, no more loads start than the burst plus the rate
times the length of the window. A new fleet controller starts without a burst,
since it does not know how much of it the previous one used.
"""

from typing import Final, final

# Loads that may start at once; the platform allows three beyond the rate in a
# window.
_BURST: Final = 2.0
_RATE_SHARE: Final = 0.9  # the rest is a margin for loads that start late


@final
class StoreLoadLimiter:
    """A token bucket that limits the loads of one service from the store."""

    __slots__ = ('tokens', 'updated_at')

    def __init__(self, now: float) -> None:
        """Create an empty bucket."""
        self.tokens = 0.0
        self.updated_at = now

    def refill_and_check(self, loads_per_s: float, now: float) -> bool:
        """Refill the bucket for the elapsed time; tell if a load may start."""
        elapsed_s = max(0, now - self.updated_at)
        self.updated_at = now
        earned = elapsed_s * loads_per_s * _RATE_SHARE
        self.tokens = min(_BURST, self.tokens + earned)
        return self.tokens >= 1

    def record_load_start(self) -> None:
        """Consume the token of a load that starts."""
        self.tokens -= 1
