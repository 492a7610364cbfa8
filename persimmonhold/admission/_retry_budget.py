"""The budget that keeps retries from multiplying an overload.

Invariant: over any time, retries number at most `burst` plus `ratio` times
the attempts that succeeded in that time.
"""

from typing import final


@final
class RetryBudget:
    """Earns a share of a retry with each success."""

    __slots__ = ('_burst', '_ratio', 'level')

    def __init__(self, ratio: float, burst: float) -> None:
        """Create a full budget."""
        self._ratio = ratio
        self._burst = burst
        self.level = burst

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self.level = min(self._burst, self.level + self._ratio)

    def spend(self) -> bool:
        """Spend one retry; return False where less than one is left."""
        if self.level < 1:
            return False
        self.level -= 1
        return True
