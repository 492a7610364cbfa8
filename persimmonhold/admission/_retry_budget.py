"""The retry budget, which keeps retries from amplifying an overload.

Invariant: in any interval, the retries number at most `burst` plus `ratio`
times the requests that succeeded in that interval.
"""

from typing import final


@final
class RetryBudget:
    """Permits retries in proportion to the requests that succeeded.

    `level` is the number of retries available now; it may be fractional.
    """

    __slots__ = ('_burst', '_ratio', 'level')

    def __init__(self, ratio: float, burst: float) -> None:
        """Create a full budget of `burst` retries.

        Each successful request adds `ratio` retries.
        """
        self._ratio = ratio
        self._burst = burst
        self.level = burst

    def record_success(self) -> None:
        """Add `ratio` retries to the budget, up to `burst`."""
        self.level = min(self._burst, self.level + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return False if less than one is left."""
        if self.level < 1:
            return False
        self.level -= 1
        return True
