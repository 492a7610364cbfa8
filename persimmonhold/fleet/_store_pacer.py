"""Keeps loads from the weight store within its rate.

Invariant: over any window, loads begin no more often than `burst` plus the
rate times the window. A new giver of orders starts without a burst, since
it does not know what the last one has used.
"""

from typing import Final, final

_BURST: Final = 2.0  # loads; three may begin beyond the rate in a window
_RATE_SHARE: Final = 0.9  # the rest is for loads that begin late


@final
class StorePacer:
    """A token bucket of loads from the store."""

    __slots__ = ('level', 'updated_at')

    def __init__(self, now: float) -> None:
        """Create an empty bucket."""
        self.level = 0.0
        self.updated_at = now

    def may_begin(self, loads_per_s: float, now: float) -> bool:
        """Tell whether a load may begin now."""
        elapsed_s = max(0, now - self.updated_at)
        self.updated_at = now
        earned = elapsed_s * loads_per_s * _RATE_SHARE
        self.level = min(_BURST, self.level + earned)
        return self.level >= 1

    def begin(self) -> None:
        """Count a load that begins."""
        self.level -= 1
