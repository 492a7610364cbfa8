"""Baseline policies: static placement, load on miss, and an upper bound."""

import math
import random

from bench.placement_fleet import MEMORY_BYTES, Fleet
from bench.placement_policy import Policy
from persimmonhold.catalogue import Catalogue
from persimmonhold.placement import Place

_WORK_PER_REQUEST_S = 0.25
_SATURATED_LOAD = 0.85


class FixedPlacement(Policy):
    """Never moves copies; restored engines hold the same copies as before."""

    def step(
        self,
        now: float,
        elapsed_s: float,
        work: dict[str, float],
        loads: dict[Place, float],
    ) -> None:
        """Keep all copies in place."""

    def fail_engines(self, engines: frozenset[str]) -> None:
        """Exclude the failed engines from serving."""
        self.failed_engines = engines

    def restore_engines(self, engines: frozenset[str]) -> None:
        """Serve with all engines again."""
        self.failed_engines = frozenset()


class StaticEven(FixedPlacement):
    """Never moves copies; reloads the same copies on restored engines."""

    name = 'static even'

    def restore_engines(self, engines: frozenset[str]) -> None:
        """Count a load for each copy that the restored engines held."""
        for held in self.holders.values():
            for place in held:
                if place.upstream in engines:
                    self.count_move()
        super().restore_engines(engines)


class UpperBound(FixedPlacement):
    """The upper bound: every model on every accelerator, ignoring memory."""

    name = 'bound'

    def __init__(self, fleet: Fleet, catalogue: Catalogue) -> None:
        """Place a copy of every model on every accelerator."""
        super().__init__(fleet, catalogue)
        for held in self.holders.values():
            held.update(self.places)


class LoadOnMiss(Policy):
    """Loads a model when a request finds no copy or only saturated copies.

    The load goes to the least loaded accelerator, which immediately evicts
    its least recently used models, whether or not they have other copies. The
    work that an evicted copy was running, that of one step, is aborted. Loads
    are limited to the rate of the weight store; requests that wait for a load
    miss their bound.
    """

    name = 'load on miss, LRU'

    def __init__(self, fleet: Fleet, catalogue: Catalogue, seed: int) -> None:
        """Start evenly; copies without a recorded use count as used at 0."""
        super().__init__(fleet, catalogue)
        self._random = random.Random(seed)
        self._last_used_at: dict[tuple[str, Place], float] = {}
        self._missed_shares: dict[str, float] = {}

    def step(
        self,
        now: float,
        elapsed_s: float,
        work: dict[str, float],
        loads: dict[Place, float],
    ) -> None:
        """Record uses, then load missing models at the rate of the store."""
        serving = self.serving_places()
        self._missed_shares = {}
        for model, held in serving.items():
            self._record_uses(model, held, work[model], now, elapsed_s)
        budget = int(self.fleet.settings.loads_per_second * elapsed_s)
        missing = self._models_to_load(serving, work, loads, elapsed_s)
        at_once = self.fleet.settings.loads_at_once
        for position, model in enumerate(missing[:budget]):
            if not serving[model]:
                delay_s = self.fleet.load_s * (1 + position // at_once)
                self._missed_shares[model] = min(1, delay_s / elapsed_s)
            self._load(model, loads, now)

    def fail_engines(self, engines: frozenset[str]) -> None:
        """Remove the copies that the failed engines held."""
        self.failed_engines = engines
        for model, held in self.holders.items():
            self.holders[model] = {
                place for place in held if place.upstream not in engines
            }

    def restore_engines(self, engines: frozenset[str]) -> None:
        """Make the engines available again, without copies."""
        self.failed_engines = frozenset()

    def missed_share(self, model: str) -> float:
        """Return the share of the step that passed until the model was loaded."""
        return self._missed_shares.get(model, 0)

    def _record_uses(
        self,
        model: str,
        held: set[Place],
        work: float,
        now: float,
        elapsed_s: float,
    ) -> None:
        rate = work / _WORK_PER_REQUEST_S / max(1, len(held))
        for place in sorted(held):
            age = self._random.expovariate(max(rate, 1e-9))
            if age <= elapsed_s:
                self._last_used_at[model, place] = now - age

    def _models_to_load(
        self,
        serving: dict[str, set[Place]],
        work: dict[str, float],
        loads: dict[Place, float],
        elapsed_s: float,
    ) -> list[str]:
        missing = []
        for model, held in serving.items():
            rate = work[model] / _WORK_PER_REQUEST_S
            is_requested = self._random.random() < 1 - math.exp(
                -rate * elapsed_s
            )
            is_saturated = all(
                loads.get(place, 0) >= _SATURATED_LOAD for place in held
            )
            if is_requested and is_saturated and len(held) < len(self.places):
                missing.append(model)
        self._random.shuffle(missing)
        return missing

    def _load(
        self,
        model: str,
        loads: dict[Place, float],
        now: float,
    ) -> None:
        candidates = [
            place
            for place in self.places
            if place.upstream not in self.failed_engines
            and place not in self.holders[model]
        ]
        if not candidates:
            return
        place = min(candidates, key=lambda each: (loads.get(each, 0), each))
        if loads.get(place, 0) >= _SATURATED_LOAD and self.holders[model]:
            return
        self._evict(place, self.model_bytes[model])
        self.holders[model].add(place)
        self._last_used_at[model, place] = now
        self.count_move()

    def _evict(self, place: Place, needed_bytes: int) -> None:
        held = [name for name, at in self.holders.items() if place in at]
        held.sort(key=lambda name: self._last_used_at.get((name, place), 0))
        free_bytes = MEMORY_BYTES - sum(self.model_bytes[name] for name in held)
        for name in held:
            if free_bytes >= needed_bytes:
                return
            self.aborted_work += self.shares.get(name, {}).get(place, 0)
            self.holders[name].discard(place)
            free_bytes += self.model_bytes[name]
