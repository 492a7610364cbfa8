"""Loads that wait for the memory of withdrawn copies.

Invariant: at most one swap waits at a place; it is given up when it takes too
long, when its place takes no loads any more, or when the catalogue wants
something else.
"""

from typing import Final, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._move import Move
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_round import PlanRound
from persimmonhold.placement._room import Room
from persimmonhold.placement._swap import Swap

_TIMEOUT_S: Final = 180.0


@final
class SwapBook:
    """The swaps under way, by place."""

    __slots__ = ('swaps',)

    def __init__(self) -> None:
        """Create a book without swaps."""
        self.swaps: dict[Place, Swap] = {}

    def follow(self, planned: PlanRound, now: float) -> None:
        """Load where memory has become free, and wait elsewhere."""
        usable = set(planned.layout.places) if self.swaps else set()
        for place, swap in tuple(self.swaps.items()):
            is_stale = now >= swap.expires_at or _is_outdated(planned, swap)
            if is_stale or place not in usable:
                self.swaps.pop(place)
            elif planned.ledger.free_bytes(place) < swap.load.memory_bytes:
                _wait(planned, swap)
            elif planned.limits.loads > 0:
                self.swaps.pop(place)
                planned.plan_load(swap.load)

    def begin(
        self,
        planned: PlanRound,
        load: Move,
        room: Room,
        now: float,
    ) -> None:
        """Withdraw what has to make room for a load."""
        reason = f'makes room for {load.target}'
        evictions: list[Move] = []
        for model in room.evicted:
            evictions.extend(planned.withdrawals(model, room.place, reason))
        swap = Swap(load, tuple(evictions), now + _TIMEOUT_S)
        self.swaps[room.place] = swap
        _wait(planned, swap)


def _wait(planned: PlanRound, swap: Swap) -> None:
    planned.limits.swaps -= 1
    planned.moves.extend(swap.evictions)
    for eviction in swap.evictions:
        holders = planned.layout.holders.get(eviction.target, ())
        if eviction.place in holders:
            planned.forgo(eviction.target, eviction.place)
    planned.expect(swap.load)


def _is_outdated(planned: PlanRound, swap: Swap) -> bool:
    entry = planned.catalogue.find(swap.load.target)
    if not isinstance(entry, ModelEntry):
        return True
    if entry.version != swap.load.version:
        return True
    key = ItemKey(swap.load.target, swap.load.version)
    return planned.ledger.has_item(swap.load.place, key)
