"""The share of the requested credit that was granted lately."""

from collections import deque
from typing import Final, final

_WINDOW_S: Final = 2.0
_SLOT_S: Final = 0.25


@final
class GrantedShare:
    """Sums of requested and granted credit over the last two seconds.

    `slots` are (number, requested, granted) of quarters of a second.
    """

    __slots__ = ('slots',)

    def __init__(self) -> None:
        """Create sums of nothing."""
        self.slots: deque[tuple[int, float, float]] = deque()

    def record(self, requested: float, granted: float, now: float) -> None:
        """Add requested and granted credit."""
        number = int(now / _SLOT_S)
        if self.slots and self.slots[-1][0] == number:
            _, old_requested, old_granted = self.slots.pop()
            requested += old_requested
            granted += old_granted
        self.slots.append((number, requested, granted))

    def compute(self, now: float) -> float:
        """Return the share that was granted; 1 if nothing was requested."""
        oldest = int((now - _WINDOW_S) / _SLOT_S)
        while self.slots and self.slots[0][0] <= oldest:
            self.slots.popleft()
        requested = sum(one[1] for one in self.slots)
        if not requested:
            return 1.0
        return min(1.0, sum(one[2] for one in self.slots) / requested)
