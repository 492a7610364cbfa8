"""The credit of one workspace that an entry holds."""

from collections import deque
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.quota._credit_spending import CreditPart

# Credit is prefetched for as much as was spent within this time.
_PREFETCH_S: Final = 0.1


@final
class HeldCredit:
    """Unspent parts of grants, and what was spent lately.

    `awaited` is the credit that pending requests prefetch. `spent` has (time,
    cost) pairs.
    """

    __slots__ = ('awaited', 'parts', 'spent')

    def __init__(self) -> None:
        """Create the credit of a workspace that has none."""
        self.parts: deque[CreditPart] = deque()
        self.spent: deque[tuple[float, float]] = deque()
        self.awaited = 0.0

    @property
    def total(self) -> float:
        """The sum of the parts, expired ones included."""
        return sum(part.tokens for part in self.parts)

    def add(self, part: CreditPart) -> None:
        """Hold a part of a grant."""
        if part.tokens > 0:
            self.parts.append(part)

    def pop_expired(self, now: float) -> list[CreditPart]:
        """Remove and return the parts that must not be used any more."""
        expired = [one for one in self.parts if now >= one.expires_at]
        if expired:
            self.parts = deque(
                one for one in self.parts if now < one.expires_at
            )
        return expired

    def take(self, cost: float) -> tuple[CreditPart, ...]:
        """Remove and return parts of this sum; empty if it is not held."""
        if cost > self.total:
            return ()
        taken: list[CreditPart] = []
        lacking = cost
        while lacking > 0 and self.parts:
            part = self.parts.popleft()
            used, rest = split_part(part, lacking)
            lacking -= used.tokens
            taken.append(used)
            if rest is not None:
                self.parts.appendleft(rest)
        return tuple(taken)

    def record_spent(self, cost: float, now: float) -> None:
        """Record that a request spent credit."""
        self.spent.append((now, cost))
        self._drop_old(now)

    def find_prefetch(self, now: float) -> float:
        """Return how much credit to prefetch with the next request."""
        self._drop_old(now)
        lately = sum(cost for _, cost in self.spent)
        return max(0, lately - self.total - max(0, self.awaited))

    def _drop_old(self, now: float) -> None:
        while self.spent and now - self.spent[0][0] > _PREFETCH_S:
            self.spent.popleft()


def split_part(
    part: CreditPart, tokens: float
) -> tuple[CreditPart, CreditPart | None]:
    """Return the first tokens of a part, and the rest of it if there is one."""
    if part.tokens <= tokens:
        return part, None
    return (
        CreditPart(part.grant_id, tokens, part.expires_at),
        CreditPart(part.grant_id, part.tokens - tokens, part.expires_at),
    )


def sum_parts(parts: Iterable[CreditPart]) -> float:
    """Return the credit of several parts."""
    return sum(part.tokens for part in parts)
