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
from persimmonhold.fleet._weights_memory import free_memory_mb, model_memory_mb
from persimmonhold.routes import EngineSpec, ModelSpec

_MIN_GAIN: Final = 0.2  # requests a second; less is not worth a load
_SWAP_RATIO: Final = 1.4  # a copy yields only to one worth this much more
_LATE_FROM_UTILIZATION: Final = (
    0.45  # use of a copy from which requests come late
)
_UTILIZATION_SLOPE: Final = (
    0.01  # a copy that is used less answers a bit sooner
)
_MISS_LOSS_RATIO: Final = 0.8  # of a request that waits for a load
_MISS_HORIZON_S: Final = 5.0  # an eviction costs one miss in that time
_BUSY_EVICTION_S: Final = 1.2  # an eviction waits for the streams under way
_IDLE_EVICTION_S: Final = 0.15  # of a copy that nothing runs on
_COPY_LIFE_S: Final = 6.0  # demand shifts about every ten seconds
_MIN_DELAY_GAIN: Final = 1.0  # so that small gains choose short loads too
_WAITED_FOR_GAIN: Final = 0.3  # so that a first request is served in the end
_WAIT_HORIZON_S: Final = 2.0  # requests that wait are saved once, not again
_UTILIZATION_COST: Final = 0.3
_SAME_DOMAIN_COST: Final = 0.05
_STORE_LOAD_COST: Final = 0.6  # loads from the store are few and slow


@final
class PlannedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order of a model at an upstream; `makes_room_for` another one."""

    upstream: str
    order: FleetOrder
    is_from_store: bool = False
    makes_room_for: str = ''
    reason: str = ''


@final
class _Placement:
    """Where a copy could go, what it would push out, and at what cost."""

    __slots__ = ('cost', 'ledger', 'score', 'evicted_models')

    def __init__(
        self,
        ledger: UpstreamLedger,
        victims: tuple[str, ...],
        cost: float,
        score: float,
    ) -> None:
        self.ledger = ledger
        self.evicted_models = victims
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
        'can_evict',
        'now',
        'planned',
        'running',
        'spec',
        'utilization',
    )

    def __init__(
        self,
        spec: EngineSpec,
        ledgers: Iterable[UpstreamLedger],
        loads: dict[str, ModelLoad],
        domains: dict[str, str],
        utilization: dict[str, float],
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
        self.can_evict = True
        self.spec = spec
        self.ledgers = tuple(ledgers)
        self.loads = loads
        self.domains = domains
        self.utilization = utilization
        self.running = running
        self.planned = planned
        self.now = now

    def plan(self, *, can_load_from_store: bool) -> PlannedOrder | None:
        """Return the next order of a model, or None."""
        finished = self._finish_swap(can_load_from_store=can_load_from_store)
        if finished is not None:
            return finished
        for gain, spec in self._models_by_gain():
            if gain < _MIN_GAIN:
                break
            placement = self._best_placement(spec, gain)
            if placement is None:
                continue
            order = self._make_order(spec, placement, gain)
            if can_load_from_store or not order.is_from_store:
                return order
        return None

    def count_copies(self, model: str) -> int:
        """Return how many upstreams hold a model or are about to."""
        return sum(
            model in ledger.models or model == ledger.reserved_model
            for ledger in self.ledgers
            if model not in ledger.retiring and model != ledger.evicting
        )

    def _finish_swap(self, *, can_load_from_store: bool) -> PlannedOrder | None:
        """Load into the room that an eviction has made."""
        for ledger in self.ledgers:
            spec = self.spec.find_model(ledger.reserved_model)
            is_open = ledger.is_idle and not ledger.retiring
            if spec is None or not is_open or ledger.name in self.planned:
                continue
            planned = self._load_or_evict(spec, ledger)
            if planned is None:
                continue
            if not planned.is_from_store or can_load_from_store:
                return planned
        return None

    def _load_or_evict(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> PlannedOrder | None:
        """Load a model, or evict once more where there is too little room."""
        if free_memory_mb(self.spec, ledger) < model_memory_mb(
            self.spec, spec.name
        ):
            return self._next_eviction(spec, ledger)
        return self._make_load(spec, ledger, 'room was made')

    def _next_eviction(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> PlannedOrder | None:
        """Evict another copy where the last eviction made too little room.

        What was worth it then may not be any more.
        """
        gain = self._gain(spec)
        chosen = self._choose_victims(spec, ledger, gain)
        ledger.reserved_model = ''
        if chosen is None or not self._is_worthwhile(gain, chosen[1]):
            return None
        victims, cost = chosen
        return self._make_eviction(victims[0], spec, ledger, f'cost {cost:.3f}')

    def _models_by_gain(self) -> list[tuple[float, ModelSpec]]:
        gains = [(self._gain(spec), spec) for spec in self.spec.models]
        return sorted(gains, key=lambda pair: pair[0], reverse=True)

    def _gain(self, spec: ModelSpec) -> float:
        """Return the requests a second that another copy would save."""
        load = self.loads.get(spec.name)
        if load is None:
            return 0
        copies = self.count_copies(spec.name)
        if copies == 0 and load.total_waiting:
            waiting = load.total_waiting / _WAIT_HORIZON_S
            return _WAITED_FOR_GAIN + waiting + load.requests_per_s
        return _late_requests_per_s(load, copies) - _late_requests_per_s(
            load, copies + 1
        )

    def _best_placement(
        self, spec: ModelSpec, gain: float
    ) -> _Placement | None:
        places = [
            placement
            for ledger in self.ledgers
            if (placement := self._find_placement(spec, ledger, gain))
            is not None
            and self._is_worthwhile(gain, placement.cost)
        ]
        return min(places, key=lambda placement: placement.score, default=None)

    def _is_worthwhile(self, gain: float, cost: float) -> bool:
        return cost == 0 or gain > cost * _SWAP_RATIO

    def _find_placement(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        gain: float,
    ) -> _Placement | None:
        is_taken = spec.name in ledger.models or ledger.reserved_model
        if is_taken or not ledger.is_idle or ledger.retiring:
            return None
        chosen = self._choose_victims(spec, ledger, gain)
        if chosen is None:
            return None
        victims, cost = chosen
        if victims and not self.can_evict:
            return None
        score = (
            cost
            + _delay_cost_per_s(gain) * self._delay_s(spec, ledger, victims)
            + _UTILIZATION_COST * self.utilization.get(ledger.name, 0)
            + _SAME_DOMAIN_COST * self._copies_in_domain(spec, ledger)
            + _STORE_LOAD_COST * (spec.name not in ledger.cached_models)
        )
        return _Placement(ledger, victims, cost, score)

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
            return _BUSY_EVICTION_S
        return _IDLE_EVICTION_S

    def _choose_victims(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        gain: float,
    ) -> tuple[tuple[str, ...], float] | None:
        """Return the cheapest copies to evict, and what they are worth.

        Among copies of like worth those go that nothing runs on.
        """
        lacking_mb = model_memory_mb(self.spec, spec.name)
        lacking_mb -= free_memory_mb(self.spec, ledger)
        victims: list[str] = []
        cost = 0.0
        values = {model: self._copy_value(model) for model in ledger.held}
        delay_cost_per_s = _delay_cost_per_s(gain)
        prices = {
            model: worth + delay_cost_per_s * self._eviction_s(model, ledger)
            for model, worth in values.items()
        }
        for model in sorted(prices, key=prices.__getitem__):
            if lacking_mb <= 0:
                break
            victims.append(model)
            cost += values[model]
            lacking_mb -= model_memory_mb(self.spec, model)
        if lacking_mb > 0 or math.isinf(cost):
            return None
        return tuple(victims), cost

    def _copy_value(self, model: str) -> float:
        """Return the requests a second that are lost with a copy."""
        load = self.loads.get(model)
        if load is None:
            return 0
        copies = self.count_copies(model)
        if copies > 1:
            return _late_requests_per_s(
                load, copies - 1
            ) - _late_requests_per_s(load, copies)
        if load.total_waiting:
            return math.inf
        return _MISS_LOSS_RATIO * min(load.requests_per_s, 1 / _MISS_HORIZON_S)

    def _make_order(
        self,
        spec: ModelSpec,
        placement: _Placement,
        gain: float,
    ) -> PlannedOrder:
        reason = f'gain {gain:.3f} cost {placement.cost:.3f}'
        if not placement.evicted_models:
            return self._make_load(spec, placement.ledger, reason)
        return self._make_eviction(
            placement.evicted_models[0], spec, placement.ledger, reason
        )

    def _make_eviction(
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

    def _make_load(
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


def _late_requests_per_s(load: ModelLoad, copies: int) -> float:
    """Return the requests a second that come late with that many copies."""
    if copies < 1:
        return load.requests_per_s
    use = load.upstreams_needed(PROMPT_TOKENS_PER_S) / copies
    late = max(0.0, 1 - _LATE_FROM_UTILIZATION / use) if use else 0.0
    return load.requests_per_s * (late + _UTILIZATION_SLOPE * min(1.0, use))


def _delay_cost_per_s(gain: float) -> float:
    """Return what a second's delay costs, spread over the life of a copy."""
    return max(gain, _MIN_DELAY_GAIN) / _COPY_LIFE_S


def load_time_s(spec: ModelSpec, ledger: UpstreamLedger) -> float:
    """Return how long a model takes to load at an upstream."""
    if spec.name in ledger.in_memory and spec.memory_load_s:
        return spec.memory_load_s
    if spec.name in ledger.on_disk and spec.disk_load_s:
        return spec.disk_load_s
    return spec.store_load_s
