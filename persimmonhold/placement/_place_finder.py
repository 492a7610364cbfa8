"""Finds a place for a new copy of a model.

Places with free memory are preferred. Otherwise surplus copies of other
models are evicted: copies beyond the configured minimum that have been
resident for the minimum time, those first whose work the remaining copies
absorb best.
"""

from collections.abc import Collection, Iterator
from itertools import islice
from typing import Final, final

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._candidate_place import CandidatePlace
from persimmonhold.placement._load_balance import TARGET_LOAD
from persimmonhold.placement._place import Place
from persimmonhold.placement._plan_context import PlanContext

# A search compares at most this many places, starting with the least loaded.
_MAX_FREE_CANDIDATES: Final = 64
_MAX_EVICTION_CANDIDATES: Final = 128


@final
class PlaceFinder:
    """Finds places for new copies in one planning round.

    `protected` holds the copies, by model and place, that may not be evicted
    yet because they arrived recently.
    """

    __slots__ = ('_context', '_protected')

    def __init__(
        self,
        context: PlanContext,
        protected: Collection[tuple[str, Place]],
    ) -> None:
        """Create a finder for the planning round of `context`."""
        self._context = context
        self._protected = protected

    def find_free_place(
        self, model: ModelEntry, *, spread: bool
    ) -> CandidatePlace | None:
        """Return the least loaded place with enough free memory for a model.

        Returns None if there is no such place. With `spread`, places in
        failure domains with fewer copies of the model come first.
        """
        size = self._context.size_bytes(model.name)
        if size > self._context.max_free_bytes:
            return None
        candidates = islice(
            (
                place
                for place in self._places_without_copy(model.name)
                if self._context.ledger.free_bytes(place) >= size
            ),
            _MAX_FREE_CANDIDATES,
        )
        best = min(
            candidates,
            key=lambda place: (
                self._context.layout.count_copies_in_domain(model.name, place)
                if spread
                else 0,
                self._context.balance.load_at(place),
            ),
            default=None,
        )
        return None if best is None else CandidatePlace(best)

    def find_place_by_eviction(
        self, model: ModelEntry
    ) -> CandidatePlace | None:
        """Return the place where evicting copies for a model costs the least.

        The cost is the work that the other copies of the evicted models cannot
        absorb, plus the load of the place above the target load. Returns None
        if evictions free enough memory at no place.
        """
        size = self._context.size_bytes(model.name)
        candidates = (
            self._select_evictions(
                place, size - self._context.ledger.free_bytes(place)
            )
            for place in islice(
                self._places_without_copy(model.name),
                _MAX_EVICTION_CANDIDATES,
            )
        )
        return min(
            (candidate for candidate in candidates if candidate is not None),
            key=lambda candidate: (
                candidate.lost_work
                + max(
                    0,
                    self._context.balance.load_at(candidate.place)
                    - TARGET_LOAD,
                ),
                len(candidate.evicted),
                self._context.balance.load_at(candidate.place),
            ),
            default=None,
        )

    def find_relocation(
        self, model: ModelEntry
    ) -> tuple[ModelEntry, CandidatePlace] | None:
        """Find a copy that can be moved elsewhere to free memory for a model.

        Returns the model of that copy and the place to move it to, or None if
        no such copy is found.
        """
        size = self._context.size_bytes(model.name)
        for place in islice(
            self._places_without_copy(model.name),
            _MAX_EVICTION_CANDIDATES,
        ):
            found = self._find_relocation_from(place, size)
            if found is not None:
                return found
        return None

    def _find_relocation_from(
        self,
        place: Place,
        size_bytes: int,
    ) -> tuple[ModelEntry, CandidatePlace] | None:
        missing_bytes = size_bytes - self._context.ledger.free_bytes(place)
        for name in self._context.layout.models_at.get(place, ()):
            entry = self._context.catalogue.find(name)
            if self._context.size_bytes(name) < missing_bytes:
                continue
            if not isinstance(entry, ModelEntry):
                continue
            candidate = self.find_free_place(entry, spread=True)
            if candidate is not None:
                return entry, candidate
        return None

    def _places_without_copy(self, model: str) -> Iterator[Place]:
        holders = self._context.layout.holders.get(model, set())
        for place in self._context.places_by_load:
            if place not in holders:
                yield place

    def _select_evictions(
        self, place: Place, missing_bytes: int
    ) -> CandidatePlace | None:
        evicted: list[str] = []
        lost_work = float(0)
        for model, lost in self._list_evictable_copies(place):
            if missing_bytes <= 0:
                break
            evicted.append(model)
            lost_work += lost
            missing_bytes -= self._context.size_bytes(model)
        return (
            CandidatePlace(place, tuple(evicted), lost_work)
            if missing_bytes <= 0
            else None
        )

    def _list_evictable_copies(self, place: Place) -> list[tuple[str, float]]:
        found = [
            (model, self._estimate_lost_work(model, place))
            for model in self._context.layout.models_at.get(place, ())
            if self._is_surplus(model, place)
        ]
        return sorted(found, key=lambda surplus: (surplus[1], surplus[0]))

    def _is_surplus(self, model: str, place: Place) -> bool:
        entry = self._context.catalogue.find(model)
        if not isinstance(entry, ModelEntry):
            return False
        if (model, place) in self._protected:
            return False
        layout = self._context.layout
        serving = layout.serving.get(model, set())
        if place not in serving or len(serving) <= entry.limits.min_copies:
            return False
        present = layout.adapters_at.get(place, set())
        return all(
            layout.serving.get(adapter.name, set()) - {place}
            for adapter in self._context.adapters_by_base.get(model, ())
            if adapter.name in present
        )

    def _estimate_lost_work(self, model: str, place: Place) -> float:
        """Return the work of a copy that the other copies cannot absorb."""
        balance = self._context.balance
        share = balance.shares.get(model, {}).get(place, 0)
        return max(0, share - balance.slack_excluding(model, place))
