"""Finds room for a new copy of a model.

Free memory is preferred. Where there is none, surplus copies of other models
make room: copies beyond the agreed minimum, longest resident, whose work the
remaining copies can bear best.
"""

from collections.abc import Collection, Iterator
from itertools import islice
from typing import Final, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._load_balance import TARGET_LOAD
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_round import PlanRound
from persimmonhold.placement._room import Room

_MAX_FREE_CANDIDATES: Final = 64
_MAX_EVICTION_CANDIDATES: Final = 128


@final
class RoomFinder:
    """Searches the places of one planning round.

    `kept` are the copies that may not be evicted yet, by model and place.
    """

    __slots__ = ('_kept', '_round')

    def __init__(
        self,
        planned: PlanRound,
        kept: Collection[tuple[str, Place]],
    ) -> None:
        """Create a finder for a round."""
        self._round = planned
        self._kept = kept

    def free_room(self, model: ModelEntry, *, spread: bool) -> Room | None:
        """Return the least loaded place with free memory.

        With `spread`, failure domains with fewer copies come first.
        """
        size = self._round.size_bytes(model.name)
        if size > self._round.max_free_bytes:
            return None
        candidates = islice(
            (
                place
                for place in self._others(model.name)
                if self._round.ledger.free_bytes(place) >= size
            ),
            _MAX_FREE_CANDIDATES,
        )
        best = min(
            candidates,
            key=lambda place: (
                self._round.layout.domain_count(model.name, place)
                if spread
                else 0,
                self._round.balance.load(place),
            ),
            default=None,
        )
        return None if best is None else Room(best)

    def evicted_room(self, model: ModelEntry) -> Room | None:
        """Return the place where making room loses the least."""
        size = self._round.size_bytes(model.name)
        rooms = (
            self._evict(place, size - self._round.ledger.free_bytes(place))
            for place in islice(
                self._others(model.name),
                _MAX_EVICTION_CANDIDATES,
            )
        )
        return min(
            (room for room in rooms if room is not None),
            key=lambda room: (
                room.loss
                + max(0, self._round.balance.load(room.place) - TARGET_LOAD),
                len(room.evicted),
                self._round.balance.load(room.place),
            ),
            default=None,
        )

    def relocation(self, model: ModelEntry) -> tuple[ModelEntry, Room] | None:
        """Return a single copy whose move elsewhere would make room."""
        size = self._round.size_bytes(model.name)
        for place in islice(
            self._others(model.name),
            _MAX_EVICTION_CANDIDATES,
        ):
            found = self._relocate_from(place, size)
            if found is not None:
                return found
        return None

    def _relocate_from(
        self,
        place: Place,
        size: int,
    ) -> tuple[ModelEntry, Room] | None:
        missing = size - self._round.ledger.free_bytes(place)
        for name in self._round.layout.models_at.get(place, ()):
            entry = self._round.catalogue.find(name)
            if self._round.size_bytes(name) < missing:
                continue
            if not isinstance(entry, ModelEntry):
                continue
            room = self.free_room(entry, spread=True)
            if room is not None:
                return entry, room
        return None

    def _others(self, model: str) -> Iterator[Place]:
        holders = self._round.layout.holders.get(model, set())
        for place in self._round.by_load:
            if place not in holders:
                yield place

    def _evict(self, place: Place, missing: int) -> Room | None:
        evicted: list[str] = []
        loss = float(0)
        for model, lost in self._evictable(place):
            if missing <= 0:
                break
            evicted.append(model)
            loss += lost
            missing -= self._round.size_bytes(model)
        return Room(place, tuple(evicted), loss) if missing <= 0 else None

    def _evictable(self, place: Place) -> list[tuple[str, float]]:
        found = [
            (model, self._loss(model, place))
            for model in self._round.layout.models_at.get(place, ())
            if self._is_surplus(model, place)
        ]
        return sorted(found, key=lambda surplus: (surplus[1], surplus[0]))

    def _is_surplus(self, model: str, place: Place) -> bool:
        entry = self._round.catalogue.find(model)
        if not isinstance(entry, ModelEntry):
            return False
        if (model, place) in self._kept:
            return False
        layout = self._round.layout
        serving = layout.serving.get(model, set())
        if place not in serving or len(serving) <= entry.limits.min_copies:
            return False
        present = layout.adapters_at.get(place, set())
        return all(
            layout.serving.get(adapter.name, set()) - {place}
            for adapter in self._round.adapters.get(model, ())
            if adapter.name in present
        )

    def _loss(self, model: str, place: Place) -> float:
        """Return the work that would not be borne without a copy."""
        balance = self._round.balance
        share = balance.shares.get(model, {}).get(place, 0)
        return max(0, share - balance.slack_without(model, place))
