"""Limits on the moves that a planning round starts."""

from typing import Final, final

# Swaps that a round may have pending per load that the weight store serves at
# full speed; a waiting swap uses no bandwidth of the store.
_SWAPS_PER_LOAD: Final = 4


@final
class MoveLimits:
    """The numbers of loads and swaps that a round may still plan.

    A swap is a load that first has to wait for the eviction of other copies.
    While the requests to those copies end, the swap uses no bandwidth of the
    weight store, so more swaps than loads may be in progress.
    """

    __slots__ = ('remaining_loads', 'remaining_swaps')

    def __init__(self, free_load_slots: int, loads_at_once: int) -> None:
        """Create the limits of a round.

        `free_load_slots` is the number of loads that the weight store can
        still take, `loads_at_once` the number that it serves at full speed.
        """
        self.remaining_loads = free_load_slots
        self.remaining_swaps = _SWAPS_PER_LOAD * loads_at_once
