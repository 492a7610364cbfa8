"""Limits on the moves that a planning round starts."""

from typing import Final, final

_SWAPS_PER_LOAD: Final = 4


@final
class MoveLimits:
    """The numbers of loads and swaps that a round may still start.

    A swap uses no bandwidth while it waits for requests to end, so more swaps
    than loads may be in progress.
    """

    __slots__ = ('remaining_loads', 'remaining_swaps')

    def __init__(self, free_load_slots: int, loads_at_once: int) -> None:
        """Create the limits of a round from the free load slots."""
        self.remaining_loads = free_load_slots
        self.remaining_swaps = _SWAPS_PER_LOAD * loads_at_once
