"""What an entry admits for one workspace without the fleet controller."""

import math
import random
from typing import Final, final

from persimmonhold.quota._credit_need import CreditNeed

# An answer of the controller tells nothing of the demand after this time.
_SHARE_LIFE_S: Final = 30.0
# Suggested to callers of requests that the draw refused.
_DRAWN_WAIT_S: Final = 1.0


@final
class LoneShare:
    """The equal share of an entry, and the last answer of the controller.

    `balance` refills at the entry's share of the rate, up to its share of the
    burst, and falls below 0 by at most one request. `admit_share` is that of
    the last answer, from `answered_at`.
    """

    __slots__ = ('admit_share', 'answered_at', 'balance', 'filled_at')

    def __init__(self) -> None:
        """Create the share of a workspace that spent nothing alone."""
        self.admit_share = 1.0
        self.answered_at = -math.inf
        self.balance = 0.0
        self.filled_at = -math.inf

    def record_answer(self, admit_share: float, now: float) -> None:
        """Record an answer of the controller."""
        self.admit_share = admit_share
        self.answered_at = now

    def find_admit_share(self, now: float) -> float:
        """Return the share of requests to admit; 1 if nothing is known."""
        if now - self.answered_at > _SHARE_LIFE_S:
            return 1.0
        return self.admit_share

    def try_spend(
        self, need: CreditNeed, now: float, rng: random.Random
    ) -> float:
        """Admit a request; return 0, or the seconds until one may be."""
        rate_per_s = need.limit.per_s / need.entry_count
        most = need.limit.burst / need.entry_count
        elapsed_s = max(0, now - self.filled_at)
        if math.isinf(elapsed_s):
            elapsed_s = 0
        self.balance = min(most, self.balance + elapsed_s * rate_per_s)
        self.filled_at = now
        if self.balance < 0:
            return -self.balance / rate_per_s
        if rng.random() >= self.find_admit_share(now):
            return _DRAWN_WAIT_S
        self.balance -= need.cost
        return 0

    def put_back(self, cost: float) -> None:
        """Undo the admission of a request that was not sent."""
        self.balance += cost
