"""How many moves a planning round may still begin."""

from typing import Final, final

_SWAPS_PER_LOAD: Final = 4


@final
class MoveLimits:
    """Free slots for loads and for swaps.

    Swaps wait for requests to end and take no bandwidth meanwhile, so more
    of them may be under way than loads.
    """

    __slots__ = ('remaining_loads', 'remaining_swaps')

    def __init__(self, loads: int, loads_at_once: int) -> None:
        """Create the limits of a round from the free load slots."""
        self.remaining_loads = loads
        self.remaining_swaps = _SWAPS_PER_LOAD * loads_at_once
