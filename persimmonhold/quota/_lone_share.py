"""What an entry admits for one workspace without the fleet controller."""

import math
import random
from typing import Final, final

from persimmonhold.quota._credit_need import CreditNeed

# Suggested to callers of requests that the draw refused.
_DRAWN_WAIT_S: Final = 1.0


@final
class LoneShare:
    """The equal share of an entry in the limit of one workspace.

    `balance` refills at the entry's share of the rate, up to its share of the
    burst, and falls below 0 by at most one request.
    """

    __slots__ = ('balance', 'filled_at')

    def __init__(self) -> None:
        """Create the share of a workspace that spent nothing alone."""
        self.balance = 0.0
        self.filled_at = math.inf

    def try_spend(
        self,
        need: CreditNeed,
        admit_share: float,
        now: float,
        rng: random.Random,
    ) -> float:
        """Admit a share of the requests, as far as the balance allows.

        Returns 0, or the seconds until a request may be admitted.
        """
        rate_per_s = need.limit.per_s / need.entry_count
        most = need.limit.burst / need.entry_count
        elapsed_s = max(0, now - self.filled_at)
        self.balance = min(most, self.balance + elapsed_s * rate_per_s)
        self.filled_at = now
        if self.balance < 0:
            return -self.balance / rate_per_s
        if rng.random() >= admit_share:
            return _DRAWN_WAIT_S
        self.balance -= need.cost
        return 0

    def put_back(self, cost: float) -> None:
        """Undo the admission of a request that was not sent."""
        self.balance += cost
