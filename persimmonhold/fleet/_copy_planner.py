"""Chooses which model to load or evict where, as demand shifts.

Answers days on which a few models carry most of the load, others are asked
for now and then, and not every model fits at once. A copy of a model is
worth the requests that would come late without it: many where its copies are
full, one miss now and then for the last copy of a model that is seldom asked
for. The next copy goes where it is worth most, in the room of copies that are
worth clearly less.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final, final

import msgspec

from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._fleet_order import FleetOrder, FleetOrderKind
from persimmonhold.fleet._model_load import ModelLoad
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.fleet._weights_memory import free_mb, held_mb
from persimmonhold.routes import EngineSpec, ModelSpec

_LEAST_GAIN: Final = 0.2  # requests a second; less is not worth a load
_SWAP_RATIO: Final = 1.4  # a copy yields only to one worth this much more
_FULL_FROM: Final = 0.45  # use of a copy from which requests come late
_USE_SLOPE: Final = 0.01  # a copy that is used less answers a bit sooner
_MISS_LOSS: Final = 0.8  # of a request that waits for a load
_MISS_HORIZON_S: Final = 5.0  # an eviction costs one miss in that time
_RUNS_END_S: Final = 1.2  # an eviction waits for the streams under way
_EVICTION_S: Final = 0.15  # of a copy that nothing runs on
_COPY_LIFE_S: Final = 6.0  # demand shifts about every ten seconds
_LEAST_HASTE: Final = 1.0  # so that small gains choose short loads too
_DEMANDED_WORTH: Final = 0.3  # so that a first request is served in the end
_WAIT_HORIZON_S: Final = 2.0  # requests that wait are saved once, not again
_BUSY_WEIGHT: Final = 0.3
_SAME_DOMAIN: Final = 0.05
_STORE_COST: Final = 0.6  # loads from the store are few and slow


@final
class PlannedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order of a model at an upstream; `makes_room_for` another one."""

    upstream: str
    order: FleetOrder
    is_from_store: bool = False
    makes_room_for: str = ''
    reason: str = ''


@final
class _Place:
    """Where a copy could go, what it would push out, and at what cost."""

    __slots__ = ('cost', 'ledger', 'score', 'victims')

    def __init__(
        self,
        ledger: UpstreamLedger,
        victims: tuple[str, ...],
        cost: float,
        score: float,
    ) -> None:
        self.ledger = ledger
        self.victims = victims
        self.cost = cost
        self.score = score


@final
class CopyPlanner:
    """Plans one service whose upstreams hold models.

    Without `may_evict` only free room is used: what is held may be in demand.
    """

    __slots__ = (
        'domains',
        'ledgers',
        'loads',
        'may_evict',
        'now',
        'planned',
        'running',
        'spec',
        'use',
    )

    def __init__(
        self,
        spec: EngineSpec,
        ledgers: Iterable[UpstreamLedger],
        loads: dict[str, ModelLoad],
        domains: dict[str, str],
        use: dict[str, float],
        running: dict[tuple[str, str], int],
        planned: Collection[str],
        now: float,
    ) -> None:
        """Create a planner of one moment.

        `ledgers` are those of upstreams that may be given orders, `domains`
        their failure domains, `use` the used share of their slots, `running`
        the requests by upstream and model; `planned` names those that have
        an order planned already, and grows with what is planned next.
        """
        self.may_evict = True
        self.spec = spec
        self.ledgers = tuple(ledgers)
        self.loads = loads
        self.domains = domains
        self.use = use
        self.running = running
        self.planned = planned
        self.now = now

    def plan(self, *, may_load_from_store: bool) -> PlannedOrder | None:
        """Return the next order of a model, or None."""
        finished = self._finish_swap(may_load_from_store=may_load_from_store)
        if finished is not None:
            return finished
        for gain, spec in self._by_need():
            if gain < _LEAST_GAIN:
                break
            place = self._best_place(spec, gain)
            if place is None:
                continue
            order = self._order(spec, place, gain)
            if may_load_from_store or not order.is_from_store:
                return order
        return None

    def copies(self, model: str) -> int:
        """Return how many upstreams hold a model or are about to."""
        return sum(
            model in ledger.models or model == ledger.reserved_model
            for ledger in self.ledgers
            if model not in ledger.retiring and model != ledger.evicting
        )

    def _finish_swap(self, *, may_load_from_store: bool) -> PlannedOrder | None:
        """Load into the room that an eviction has made."""
        for ledger in self.ledgers:
            spec = self.spec.find_model(ledger.reserved_model)
            is_open = ledger.is_idle and not ledger.retiring
            if spec is None or not is_open or ledger.name in self.planned:
                continue
            planned = self._fill(spec, ledger)
            if planned is None:
                continue
            if not planned.is_from_store or may_load_from_store:
                return planned
        return None

    def _fill(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> PlannedOrder | None:
        """Load a model, or evict once more where there is too little room."""
        if free_mb(self.spec, ledger) < held_mb(self.spec, spec.name):
            return self._next_eviction(spec, ledger)
        return self._load(spec, ledger, 'room was made')

    def _next_eviction(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> PlannedOrder | None:
        """Evict another copy where the last eviction made too little room.

        What was worth it then may not be any more.
        """
        gain = self._gain(spec)
        chosen = self._victims(spec, ledger, gain)
        ledger.reserved_model = ''
        if chosen is None or not self._is_worth(gain, chosen[1]):
            return None
        victims, cost = chosen
        return self._evict(victims[0], spec, ledger, f'cost {cost:.3f}')

    def _by_need(self) -> list[tuple[float, ModelSpec]]:
        gains = [(self._gain(spec), spec) for spec in self.spec.models]
        return sorted(gains, key=lambda pair: pair[0], reverse=True)

    def _gain(self, spec: ModelSpec) -> float:
        """Return the requests a second that another copy would save."""
        load = self.loads.get(spec.name)
        if load is None:
            return 0
        copies = self.copies(spec.name)
        if copies == 0 and load.total_waiting:
            waiting = load.total_waiting / _WAIT_HORIZON_S
            return _DEMANDED_WORTH + waiting + load.requests_per_s
        return _lost_per_s(load, copies) - _lost_per_s(load, copies + 1)

    def _best_place(self, spec: ModelSpec, gain: float) -> _Place | None:
        places = [
            place
            for ledger in self.ledgers
            if (place := self._place(spec, ledger, gain)) is not None
            and self._is_worth(gain, place.cost)
        ]
        return min(places, key=lambda place: place.score, default=None)

    def _is_worth(self, gain: float, cost: float) -> bool:
        return cost == 0 or gain > cost * _SWAP_RATIO

    def _place(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        gain: float,
    ) -> _Place | None:
        is_taken = spec.name in ledger.models or ledger.reserved_model
        if is_taken or not ledger.is_idle or ledger.retiring:
            return None
        chosen = self._victims(spec, ledger, gain)
        if chosen is None:
            return None
        victims, cost = chosen
        if victims and not self.may_evict:
            return None
        score = (
            cost
            + _haste(gain) * self._delay_s(spec, ledger, victims)
            + _BUSY_WEIGHT * self.use.get(ledger.name, 0)
            + _SAME_DOMAIN * self._copies_in_domain(spec, ledger)
            + _STORE_COST * (spec.name not in ledger.cached_models)
        )
        return _Place(ledger, victims, cost, score)

    def _copies_in_domain(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> int:
        domain = self.domains.get(ledger.name)
        return sum(
            spec.name in other.models
            for other in self.ledgers
            if self.domains.get(other.name) == domain
        )

    def _delay_s(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        victims: tuple[str, ...],
    ) -> float:
        """Return how long it takes until a copy is there."""
        evictions_s = sum(self._eviction_s(model, ledger) for model in victims)
        return evictions_s + load_time_s(spec, ledger)

    def _eviction_s(self, model: str, ledger: UpstreamLedger) -> float:
        if self.running.get((ledger.name, model)):
            return _RUNS_END_S
        return _EVICTION_S

    def _victims(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        gain: float,
    ) -> tuple[tuple[str, ...], float] | None:
        """Return the cheapest copies to evict, and what they are worth.

        Among copies of like worth those go that nothing runs on.
        """
        lacking_mb = held_mb(self.spec, spec.name)
        lacking_mb -= free_mb(self.spec, ledger)
        victims: list[str] = []
        cost = 0.0
        worths = {model: self._copy_worth(model) for model in ledger.held}
        haste = _haste(gain)
        prices = {
            model: worth + haste * self._eviction_s(model, ledger)
            for model, worth in worths.items()
        }
        for model in sorted(prices, key=prices.__getitem__):
            if lacking_mb <= 0:
                break
            victims.append(model)
            cost += worths[model]
            lacking_mb -= held_mb(self.spec, model)
        if lacking_mb > 0 or math.isinf(cost):
            return None
        return tuple(victims), cost

    def _copy_worth(self, model: str) -> float:
        """Return the requests a second that are lost with a copy."""
        load = self.loads.get(model)
        if load is None:
            return 0
        copies = self.copies(model)
        if copies > 1:
            return _lost_per_s(load, copies - 1) - _lost_per_s(load, copies)
        if load.total_waiting:
            return math.inf
        return _MISS_LOSS * min(load.requests_per_s, 1 / _MISS_HORIZON_S)

    def _order(
        self,
        spec: ModelSpec,
        place: _Place,
        gain: float,
    ) -> PlannedOrder:
        reason = f'gain {gain:.3f} cost {place.cost:.3f}'
        if not place.victims:
            return self._load(spec, place.ledger, reason)
        return self._evict(place.victims[0], spec, place.ledger, reason)

    def _evict(
        self,
        victim: str,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        reason: str,
    ) -> PlannedOrder:
        return PlannedOrder(
            upstream=ledger.name,
            order=FleetOrder(
                kind=FleetOrderKind.evict,
                model=victim,
                expected=ledger.accepted_orders,
            ),
            makes_room_for=spec.name,
            reason=reason,
        )

    def _load(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        reason: str,
    ) -> PlannedOrder:
        return PlannedOrder(
            upstream=ledger.name,
            order=FleetOrder(
                kind=FleetOrderKind.load,
                model=spec.name,
                expected=ledger.accepted_orders,
            ),
            is_from_store=spec.name not in ledger.cached_models,
            reason=reason,
        )


def _lost_per_s(load: ModelLoad, copies: int) -> float:
    """Return the requests a second that come late with that many copies."""
    if copies < 1:
        return load.requests_per_s
    use = load.upstreams_needed(PROMPT_TOKENS_PER_S) / copies
    late = max(0.0, 1 - _FULL_FROM / use) if use else 0.0
    return load.requests_per_s * (late + _USE_SLOPE * min(1.0, use))


def _haste(gain: float) -> float:
    """Return what a second's delay costs, spread over the life of a copy."""
    return max(gain, _LEAST_HASTE) / _COPY_LIFE_S


def load_time_s(spec: ModelSpec, ledger: UpstreamLedger) -> float:
    """Return how long a model takes to load at an upstream."""
    if spec.name in ledger.in_memory and spec.memory_load_s:
        return spec.memory_load_s
    if spec.name in ledger.on_disk and spec.disk_load_s:
        return spec.disk_load_s
    return spec.store_load_s
