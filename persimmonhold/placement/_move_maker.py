"""Makes room and plans loads, and keeps the reasons.

Invariant: every target that wants a move and does not get it has a reason.
"""

from collections.abc import Callable, Collection
from typing import TypeAlias, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._explanations import Explanations
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_round import PlanRound
from persimmonhold.placement._room import Room
from persimmonhold.placement._room_finder import RoomFinder
from persimmonhold.placement._swap_book import SwapBook

RoomCheck: TypeAlias = Callable[[ModelEntry, Room], str]


@final
class MoveMaker:
    """Plans the loads of one round."""

    __slots__ = ('_explanations', '_now', '_swaps', 'planned')

    def __init__(
        self,
        planned: PlanRound,
        swaps: SwapBook,
        explanations: Explanations,
        now: float,
    ) -> None:
        """Create a maker for a round."""
        self.planned = planned
        self._swaps = swaps
        self._explanations = explanations
        self._now = now

    def finder(self, kept: Collection[tuple[str, Place]]) -> RoomFinder:
        """Return a finder that evicts none of the kept copies."""
        return RoomFinder(self.planned, kept)

    def find_room(
        self,
        model: ModelEntry,
        finder: RoomFinder,
        *,
        spread: bool,
    ) -> Room | None:
        """Return free room, or else room that others have to make."""
        if self.planned.limits.loads > 0:
            room = finder.free_room(model, spread=spread)
            if room is not None:
                return room
        if self.planned.limits.swaps > 0:
            return finder.evicted_room(model)
        return None

    def make(self, model: ModelEntry, room: Room, reason: str) -> None:
        """Plan a load, or the withdrawals that make room for it."""
        load = self.planned.load_move(model, room.place, reason)
        if room.evicted:
            self._swaps.begin(self.planned, load, room, self._now)
        else:
            self.planned.plan_load(load)

    def block(self, target: str, reason: str) -> None:
        """Keep why a target does not move."""
        self._explanations.record_blocked(target, reason, self._now)
