"""The free slots of an upstream, shared among the entries."""

from typing import final


@final
class FreePlaces:
    """The free slots of an upstream at an update, which all entries share.

    `own` is the number of running requests of this entry then. `draw`, from 0
    to 1, rounds this entry's share up or down, so that the shares of all
    entries together make up the free slots on average.
    """

    __slots__ = ('draw', 'free', 'own')

    def __init__(self, free: int, own: int, draw: float) -> None:
        """Create the state at an update."""
        self.free = free
        self.own = own
        self.draw = draw

    def allows_another(self, running: int, share: float) -> bool:
        """Tell whether this entry may send one more request.

        `running` is the number of its running requests, and `share` its part
        of all waiting requests.
        """
        return running < self.own + int(self.free * share + self.draw)
