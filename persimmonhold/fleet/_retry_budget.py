"""An entry's share of the repeats that a service takes from all entries.

Invariant: over any window an entry sends at most its part of the slack plus
a ratio of the requests that it took itself, so the sum over the entries
keeps to the bound without a word between them.
"""

from collections import deque
from typing import Final, final

import msgspec

_SPENDABLE_SHARE: Final = (
    0.8  # the rest is for entries that start anew and forget
)


@final
class RetryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """The bound on repeats over all entries, in any window of seconds."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@final
class RetryBudget:
    """Repeats and requests of one service within the window."""

    __slots__ = ('bounds', 'retries', 'requests')

    def __init__(self, bounds: RetryBounds) -> None:
        """Create an allowance of which nothing is used."""
        self.bounds = bounds
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that was taken from a caller."""
        self.requests.append(now)

    def try_spend(self, entries: int, now: float) -> bool:
        """Use one repeat, where `entries` share the slack."""
        horizon = now - self.bounds.window_s
        _drop_before(self.requests, horizon)
        _drop_before(self.retries, horizon)
        earned = self.bounds.ratio * len(self.requests)
        slack_share = self.bounds.slack / max(1, entries)
        if len(self.retries) + 1 > _SPENDABLE_SHARE * (earned + slack_share):
            return False
        self.retries.append(now)
        return True


def _drop_before(times: deque[float], horizon: float) -> None:
    while times and times[0] <= horizon:
        times.popleft()
