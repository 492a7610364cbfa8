"""What the measured policies have in common: copies and their mechanics."""

import abc

from bench.placement_fleet import Fleet, list_places
from persimmonhold.catalogue import Catalogue, ModelEntry, UpstreamEntry
from persimmonhold.placement import Place


class Policy(abc.ABC):
    """Holds copies on accelerators; counts moves after the warm-up.

    Every policy starts from the same even placement. A load takes as long as
    the weight store needs at full speed, and all loads share its pace.
    """

    name: str

    def __init__(self, fleet: Fleet, catalogue: Catalogue) -> None:
        """Fill the memory evenly: one copy each, then second copies."""
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
        """Return the copies that serve now, on engines that are up."""
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
        """Act on the work offered and the loads of the last step."""

    @abc.abstractmethod
    def fail_engines(self, engines: frozenset[str]) -> None:
        """Lose engines with all that they hold."""

    @abc.abstractmethod
    def restore_engines(self, engines: frozenset[str]) -> None:
        """Get engines back, empty."""

    def missed_share(self, model: str) -> float:
        """Return the share of a model's requests that waited for a load."""
        return 0

    def count_move(self) -> None:
        """Count the load of a model with its adapters."""
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
