"""The free slots of an upstream, shared among the entries."""

from typing import final

from persimmonhold.fleet._slot_share import GUARANTEED_SHARE, SlotShare


@final
class FreePlaces:
    """The free slots of an upstream at an update, which all entries share.

    `own` is the number of running requests of this entry then, and `total` that
    of all entries. `draw`, from 0
    to 1, rounds this entry's share up or down, so that the shares of all
    entries together make up the free slots on average.
    """

    __slots__ = ('draw', 'free', 'own', 'total')

    def __init__(
        self, free: int, own: int, draw: float, total: int = 0
    ) -> None:
        """Create the state at an update."""
        self.free = free
        self.own = own
        self.draw = draw
        self.total = total

    def allows_another(self, running: int, share: SlotShare) -> bool:
        """Tell whether this entry may send one more request.

        `running` is the number of its running requests, and `share` its part
        of the free slots.
        """
        slots = self.own + self.free * share.share
        if share.reserved and self.draw >= GUARANTEED_SHARE:
            left = self.free - share.reserved
            slots = self.own + max(0, left) * share.share
            # What the free slots cannot cover, all entries yield as they end.
            slots += min(0, left) * self.own / max(1, self.total)
        return running < int(slots + self.draw)
