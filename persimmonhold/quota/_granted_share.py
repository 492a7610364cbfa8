"""The share of the credit requested lately that can be granted."""

from collections import deque
from typing import Final, final

_SLOT_S: Final = 0.25
_SLOTS: Final = 8  # two seconds
# A small workspace has few requests in two seconds, so that its share varies by
# chance; the share over eight seconds bounds it.
_MOST_SLOTS: Final = 32
# The first requests of a new book count as those of a second.
_LEAST_SLOTS: Final = 3


@final
class GrantedShare:
    """Sums of requested and granted credit over the last seconds.

    `slots` are (number, requested, granted) of quarters of a second. Nothing is
    known from before `first_slot`.
    """

    __slots__ = ('first_slot', 'slots')

    def __init__(self, now: float) -> None:
        """Create sums of nothing."""
        self.first_slot = int(now / _SLOT_S)
        self.slots: deque[tuple[int, float, float]] = deque()

    def record(self, requested: float, granted: float, now: float) -> None:
        """Add requested and granted credit."""
        number = int(now / _SLOT_S)
        if self.slots and self.slots[-1][0] == number:
            _, old_requested, old_granted = self.slots.pop()
            requested += old_requested
            granted += old_granted
        self.slots.append((number, requested, granted))

    def compute(self, now: float, rate_per_s: float) -> float:
        """Return the share of the demand that the rate allows to grant.

        It is 1 if nothing was refused. What was granted out of the burst does
        not count, as it is spent when entries act on the share; nor does a
        refusal of demand within the rate, which only came too early.
        """
        number = int(now / _SLOT_S)
        while self.slots and self.slots[0][0] <= number - _MOST_SLOTS:
            self.slots.popleft()
        return min(
            self._compute_since(number - _SLOTS, rate_per_s),
            self._compute_since(number - _MOST_SLOTS, rate_per_s),
        )

    def _compute_since(self, oldest: int, rate_per_s: float) -> float:
        """Return the share of the slots after the oldest one."""
        requested = 0.0
        granted = 0.0
        for number, slot_requested, slot_granted in self.slots:
            if number > oldest:
                requested += slot_requested
                granted += slot_granted
        if granted >= requested:
            return 1.0
        known_from = max(oldest, self.first_slot - _LEAST_SLOTS)
        window_s = (self.slots[-1][0] - known_from) * _SLOT_S
        return min(1.0, rate_per_s * window_s / requested)
