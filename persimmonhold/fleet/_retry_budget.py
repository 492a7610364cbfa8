"""An entry's share of the retries that a service may get from all entries.

Invariant: in any window, the retries of an entry are at most its share of the
slack plus a ratio of the requests that it received itself. All entries together
therefore stay within `RetryBounds` without communicating.
"""

from collections import deque
from typing import Final, final

import msgspec

# Share of the budget that may be spent; the rest is a reserve for entries that
# restart and lose their counts.
_SPENDABLE_SHARE: Final = 0.8


@final
class RetryBounds(msgspec.Struct, frozen=True, kw_only=True):
    """The limit on the retries of one service by all entries in any window.

    The limit is `slack` plus `ratio` times the requests in the window.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


@final
class RetryBudget:
    """Limits the retries that one entry sends for one service.

    `requests` and `retries` are the times of those in the window.
    """

    __slots__ = ('bounds', 'requests', 'retries')

    def __init__(self, bounds: RetryBounds) -> None:
        """Create an unused budget."""
        self.bounds = bounds
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request received from a caller."""
        self.requests.append(now)

    def has_retry(self, entry_count: int, now: float) -> bool:
        """Tell whether a retry is left.

        `entry_count` is the number of entries that share the slack.
        """
        horizon = now - self.bounds.window_s
        _drop_before(self.requests, horizon)
        _drop_before(self.retries, horizon)
        earned = self.bounds.ratio * len(self.requests)
        slack_share = self.bounds.slack / max(1, entry_count)
        spendable = _SPENDABLE_SHARE * (earned + slack_share)
        return len(self.retries) + 1 <= spendable

    def try_spend_retry(self, entry_count: int, now: float) -> bool:
        """Spend one retry and return True, or return False if none is left."""
        if not self.has_retry(entry_count, now):
            return False
        self.retries.append(now)
        return True

    def return_retry(self) -> None:
        """Return the last retry that was spent, as nothing was sent for it."""
        if self.retries:
            self.retries.pop()


def _drop_before(times: deque[float], horizon: float) -> None:
    while times and times[0] <= horizon:
        times.popleft()
