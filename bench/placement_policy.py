"""Base class of the measured policies: places of copies, move counts."""

import abc

from bench.placement_fleet import Fleet, list_places
from persimmonhold.catalogue import Catalogue, ModelEntry, UpstreamEntry
from persimmonhold.placement import Place


class Policy(abc.ABC):
    """Tracks copies on accelerators and counts moves after the warm-up.

    Every policy starts from the same even placement. A load takes as long as
    the weight store needs when fully used, and all loads share its rate.
    """

    name: str

    def __init__(self, fleet: Fleet, catalogue: Catalogue) -> None:
        """Fill the memory evenly: one copy of each model, then further ones."""
        self.fleet = fleet
        self.catalogue = catalogue
        self.places = list_places(catalogue)
        self.models = list(catalogue.entries_of_type(ModelEntry))
        self.domains = {
            upstream.name: upstream.failure_domain
            for upstream in catalogue.entries_of_type(UpstreamEntry)
        }
        adapters = fleet.adapters // fleet.models
        self.adapters_per_model = adapters
        self.model_bytes = {
            model.name: model.weight_bytes
            + model.kv_floor_bytes
            + adapters * 200_000_000
            for model in self.models
        }
        self.holders: dict[str, set[Place]] = {
            model.name: set() for model in self.models
        }
        self.failed_engines: frozenset[str] = frozenset()
        self.moves = 0
        self.adapter_moves = 0
        self.shares: dict[str, dict[Place, float]] = {}
        self.aborted_work = 0.0
        self._place_evenly(80_000_000_000)

    def serving_places(self) -> dict[str, set[Place]]:
        """Return the places of each model on engines that have not failed."""
        return {
            model: {
                each
                for each in held
                if each.upstream not in self.failed_engines
            }
            for model, held in self.holders.items()
        }

    @abc.abstractmethod
    def step(
        self,
        now: float,
        elapsed_s: float,
        work: dict[str, float],
        loads: dict[Place, float],
    ) -> None:
        """Move copies by the offered work and the loads of the last step."""

    @abc.abstractmethod
    def fail_engines(self, engines: frozenset[str]) -> None:
        """Fail engines, with all copies that they hold."""

    @abc.abstractmethod
    def restore_engines(self, engines: frozenset[str]) -> None:
        """Restore failed engines, which come back without copies."""

    def missed_share(self, model: str) -> float:
        """Return the share of a model's work that missed while it loaded."""
        return 0

    def count_move(self) -> None:
        """Count one load of a model and of its adapters."""
        self.moves += 1
        self.adapter_moves += self.adapters_per_model

    def _place_evenly(self, memory_bytes: int) -> None:
        free = dict.fromkeys(self.places, memory_bytes)
        by_size = sorted(
            self.model_bytes, key=lambda model: -self.model_bytes[model]
        )
        while True:
            placed = [self._place_copy(model, free) for model in by_size]
            if not any(placed):
                return

    def _place_copy(self, model: str, free: dict[Place, int]) -> bool:
        size = self.model_bytes[model]
        candidates = [
            place
            for place in self.places
            if free[place] >= size and place not in self.holders[model]
        ]
        if not candidates:
            return False
        used = {self.domains[place.upstream] for place in self.holders[model]}
        chosen = min(
            candidates,
            key=lambda place: (
                self.domains[place.upstream] in used,
                -free[place],
                place,
            ),
        )
        free[chosen] -= size
        self.holders[model].add(chosen)
        return True
