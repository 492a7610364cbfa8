"""Loads that wait for the memory of withdrawn copies.

Invariant: at most one swap is pending at a place. A swap is dropped when it
times out, when its place no longer takes loads, when its model or version is
no longer in the catalogue, or when that version is already reserved there.
"""

from typing import Final, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._candidate_place import CandidatePlace
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._move import Move
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_context import PlanContext
from persimmonhold.placement._swap import Swap

# A swap is dropped if its memory is not free within this time after its start.
_SWAP_TIMEOUT_S: Final = 180.0


@final
class PendingSwaps:
    """Tracks the pending swaps of one leadership.

    `swaps` maps a place to the swap that is pending there.
    """

    __slots__ = ('swaps',)

    def __init__(self) -> None:
        """Create an empty collection of swaps."""
        self.swaps: dict[Place, Swap] = {}

    def advance_swaps(self, context: PlanContext, now: float) -> None:
        """Plan the loads of swaps whose memory is free; drop outdated swaps.

        For swaps that still wait for memory, the evictions are added to the
        moves of this round again, and their memory is reserved in it.
        """
        usable = set(context.layout.places) if self.swaps else set()
        for place, swap in tuple(self.swaps.items()):
            is_stale = now >= swap.expires_at or _is_outdated(context, swap)
            if is_stale or place not in usable:
                self.swaps.pop(place)
            elif context.ledger.free_bytes(place) < swap.load.memory_bytes:
                _reserve_swap(context, swap)
            elif context.limits.remaining_loads > 0:
                self.swaps.pop(place)
                context.add_load(swap.load)

    def begin_swap(
        self,
        context: PlanContext,
        load: Move,
        candidate: CandidatePlace,
        now: float,
    ) -> None:
        """Start a swap: plan its evictions and reserve memory for its load.

        `load` itself is planned in a later round, once its memory is free.
        """
        reason = f'frees memory for {load.target}'
        evictions: list[Move] = []
        for model in candidate.evicted:
            evictions.extend(
                context.create_withdrawals(model, candidate.place, reason)
            )
        swap = Swap(load, tuple(evictions), now + _SWAP_TIMEOUT_S)
        self.swaps[candidate.place] = swap
        _reserve_swap(context, swap)


def _reserve_swap(context: PlanContext, swap: Swap) -> None:
    context.limits.remaining_swaps -= 1
    context.moves.extend(swap.evictions)
    for eviction in swap.evictions:
        holders = context.layout.holders.get(eviction.target, ())
        if eviction.place in holders:
            context.remove_copy(eviction.target, eviction.place)
    context.reserve_load(swap.load)


def _is_outdated(context: PlanContext, swap: Swap) -> bool:
    entry = context.catalogue.find(swap.load.target)
    if not isinstance(entry, ModelEntry):
        return True
    if entry.version != swap.load.version:
        return True
    key = ItemKey(swap.load.target, swap.load.version)
    return context.ledger.has_item(swap.load.place, key)
