"""Decides which model to load or evict at which upstream.

Not all models fit at once, a few models carry most of the load, and demand
shifts. The value of a copy is the number of requests per second that would be
late without it. It is high where the copies of a model are saturated, and low
for the last copy of a rarely used model, which an occasional request needs.
The planner adds the copy with the highest gain, and evicts only copies of
clearly lower value for it. Gains, values and costs are in late requests per
second.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._fleet_messages import WantedCopy
from persimmonhold.fleet._fleet_order import FleetOrder, FleetOrderKind
from persimmonhold.fleet._model_load import ModelLoad
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.fleet._weights_memory import free_memory_mb, model_memory_mb
from persimmonhold.routes import EngineSpec, ModelSpec

# In requests per second; a smaller gain does not justify a load.
_MIN_GAIN: Final = 0.2
# The gain must exceed the cost of the evictions by this factor.
_MIN_GAIN_COST_RATIO: Final = 1.4
# Above this utilization of a copy, the share of its requests that are late
# grows with the utilization.
_LATE_ABOVE_UTILIZATION: Final = 0.45
# This times the utilization is added to the share of late requests, so that the
# planner slightly prefers more copies: a less utilized copy responds faster.
_UTILIZATION_SLOPE: Final = 0.01
# A request whose model must be loaded first counts as this many late requests.
_MISS_LOSS_RATIO: Final = 0.8
# The eviction of a last copy makes one request wait for a load, and those that
# come while it runs, in this time.
_MISS_HORIZON_S: Final = 5.0
# Duration of an eviction that must wait for the running streams of the model.
_BUSY_EVICTION_S: Final = 1.2
_IDLE_EVICTION_S: Final = 0.15  # duration if no request of the model runs
# Time for which a new copy is expected to be used; demand shifts about every
# ten seconds.
_COPY_LIFE_S: Final = 6.0
# Lower bound of the gain in the cost of a delay, so that upstreams with short
# load times are preferred also for copies of low gain.
_MIN_DELAY_GAIN: Final = 1.0
# Base gain of a first copy, so that even a single waiting request is served.
_FIRST_COPY_GAIN: Final = 0.3
# The gain is a rate: the number of waiting requests is divided by this time.
_WAIT_HORIZON_S: Final = 2.0
# Costs in the score of an upstream as the place of a copy: its slot
# utilization times the first, the second for each copy of the model in the same
# failure domain, and the third if the model has to be loaded from the weight
# store, which is slow and limited in rate.
_UTILIZATION_COST: Final = 0.3
_SAME_DOMAIN_COST: Final = 0.05
_STORE_LOAD_COST: Final = 0.6

# The gain, the model, and the build at which it is needed; empty for any.
_WorthwhileCopy: TypeAlias = tuple[float, ModelSpec, str]


@final
class PlannedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A model order for an upstream, and the reason for it as logged.

    `is_from_store` tells that the model is loaded from the weight store.
    `makes_room_for` names the model to be loaded after an eviction.
    """

    upstream: str
    order: FleetOrder
    is_from_store: bool = False
    makes_room_for: str = ''
    reason: str = ''


@final
class _Placement:
    """An upstream that could take a copy, and the models to evict for it.

    `cost` is the sum of the values of the evicted copies. The placement with
    the lowest `score` is chosen.
    """

    __slots__ = ('cost', 'evicted_models', 'ledger', 'score')

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
    """Plans the model orders of one service.

    While `can_evict` is False, models are loaded only into free memory: the
    demand for the models already loaded may not be known yet. `limits` has the
    request limits of upstreams that state one, in requests a second; a copy
    there counts as the part of a copy that the limit leaves. `wanted_copies` are
    models that requests need at one build each, and `builds` the builds of the
    upstreams. `lost_streams` are the (upstream, model) whose last copy at their
    build is kept. `holders` indexes
    the ledgers by the models that they hold or reserve memory for, so that a
    plan takes time in proportion to the copies, and not to models times
    upstreams; it is empty unless the ledgers are unchanged since it was built.
    """

    __slots__ = (
        'builds',
        'can_evict',
        'failure_domains',
        'holders',
        'ledgers',
        'limits',
        'loads',
        'lost_streams',
        'now',
        'planned_upstreams',
        'running',
        'spec',
        'utilization',
        'wanted_copies',
    )

    def __init__(
        self,
        spec: EngineSpec,
        ledgers: Iterable[UpstreamLedger],
        loads: dict[str, ModelLoad],
        failure_domains: dict[str, str],
        utilization: dict[str, float],
        running: dict[tuple[str, str], int],
        planned_upstreams: Collection[str],
        now: float,
    ) -> None:
        """Create a planner for the state at `now`.

        `ledgers` are the ledgers of the upstreams that can accept orders.
        `loads` is keyed by model. `failure_domains` and `utilization`, the
        used share of the slots, are keyed by upstream. `running` counts
        requests by (upstream, model). `planned_upstreams` names the upstreams
        that have a planned order; the caller adds to it between calls of
        `plan_next_order`.
        """
        self.can_evict = True
        self.holders: dict[str, list[UpstreamLedger]] = {}
        self.limits: dict[str, float] = {}
        self.builds: dict[str, str] = {}
        self.wanted_copies: tuple[WantedCopy, ...] = ()
        self.lost_streams: frozenset[tuple[str, str]] = frozenset()
        self.spec = spec
        self.ledgers = tuple(ledgers)
        self.loads = loads
        self.failure_domains = failure_domains
        self.utilization = utilization
        self.running = running
        self.planned_upstreams = planned_upstreams
        self.now = now

    def plan_next_order(
        self, *, can_load_from_store: bool
    ) -> PlannedOrder | None:
        """Return the next worthwhile model order, or None.

        Unless `can_load_from_store`, loads from the weight store are skipped.
        """
        self.holders = {}  # the caller may have changed the ledgers
        finished = self._plan_after_eviction(
            can_load_from_store=can_load_from_store
        )
        if finished is not None:
            return finished
        for gain, spec, build in (
            *self._list_copies_of_builds(),
            *self._models_by_gain(),
        ):
            placement = self._best_placement(spec, gain, build)
            if placement is None:
                continue
            order = self._make_first_order(spec, placement, gain)
            if can_load_from_store or not order.is_from_store:
                return order
        return None

    def count_copies(self, model: str) -> float:
        """Count the upstreams that hold a model or reserve memory for it.

        Copies that are being evicted or are about to be evicted do not count,
        and those at upstreams with a request limit only in part.
        """
        return sum(
            self._usable_part(model, ledger)
            for ledger in self._list_holders(model)
            if model not in ledger.retiring and model != ledger.evicting
        )

    def copy_value(self, model: str) -> float:
        """Return how many late requests per second an eviction would cause.

        Infinity for the last copy while requests wait for the model. Copies
        that are still being loaded serve nobody, so they are no replacement.
        """
        load = self.loads.get(model)
        if load is None:
            return 0
        copies = self.count_copies(model)
        surplus = 0.0
        if copies > 1:
            fewer = _late_requests_per_s(load, copies - 1)
            surplus = fewer - _late_requests_per_s(load, copies)
        serving = _count_serving(model, self._list_holders(model))
        if copies > 1 and serving > 1:
            return surplus
        if load.total_waiting:
            return math.inf
        return max(surplus, self._last_copy_value(model, load))

    def _list_holders(self, model: str) -> list[UpstreamLedger]:
        """Return the ledgers that hold a model or reserve memory for it."""
        if not self.holders:
            for ledger in self.ledgers:
                named = {*ledger.models, ledger.reserved_model}
                for held in named:
                    self.holders.setdefault(held, []).append(ledger)
        return self.holders.get(model, [])

    def _usable_part(self, model: str, ledger: UpstreamLedger) -> float:
        """Return how much of a copy the request limit of its upstream leaves.

        That is the limit relative to the requests that a copy can serve.
        """
        limit_per_s = self.limits.get(ledger.name)
        if limit_per_s is None:
            return 1
        load = self.loads.get(model)
        if load is None or not load.requests_per_s:
            return float(limit_per_s > 0)
        used = load.upstreams_needed(PROMPT_TOKENS_PER_S)
        return min(1, limit_per_s * used / load.requests_per_s)

    def _plan_after_eviction(
        self, *, can_load_from_store: bool
    ) -> PlannedOrder | None:
        """Return the next order at an upstream that has evicted a model.

        It loads the model for which memory is reserved there, or evicts one
        more. Returns None if no upstream needs such an order now.
        """
        for ledger in self.ledgers:
            spec = self.spec.find_model(ledger.reserved_model)
            is_open = ledger.is_idle and not ledger.retiring
            if (
                spec is None
                or not is_open
                or ledger.name in self.planned_upstreams
            ):
                continue
            planned = self._plan_load_or_eviction(spec, ledger)
            if planned is None:
                continue
            if not planned.is_from_store or can_load_from_store:
                return planned
        return None

    def _plan_load_or_eviction(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> PlannedOrder | None:
        """Return a load of a model, or an eviction if memory is too small.

        Returns None if the eviction is no longer worthwhile.
        """
        if free_memory_mb(self.spec, ledger) < model_memory_mb(
            self.spec, spec.name
        ):
            return self._plan_further_eviction(spec, ledger)
        return self._make_load_order(spec, ledger, 'room made by eviction')

    def _plan_further_eviction(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
    ) -> PlannedOrder | None:
        """Return one more eviction for a model that still does not fit.

        Returns None if it is not worthwhile: gain and cost are computed again,
        since demand may have changed. The reservation of memory is cancelled;
        scheduling the eviction makes it again.
        """
        gain = self._copy_gain(spec)
        chosen = self._choose_victims(spec, ledger, gain)
        ledger.reserved_model = ''
        self.holders = {}
        if chosen is None or not self._is_worthwhile(gain, chosen[1]):
            return None
        victims, cost = chosen
        return self._make_eviction_order(
            victims[0], spec, ledger, f'cost {cost:.3f}'
        )

    def _list_copies_of_builds(self) -> list[_WorthwhileCopy]:
        """Return the copies that requests need at builds without one."""
        copies: list[_WorthwhileCopy] = []
        for wanted in self.wanted_copies:
            spec = self.spec.find_model(wanted.model)
            is_held = any(
                self.builds.get(ledger.name) == wanted.build
                for ledger in self._list_holders(wanted.model)
            )
            if spec is not None and not is_held:
                gain = _FIRST_COPY_GAIN + wanted.waiting / _WAIT_HORIZON_S
                copies.append((gain, spec, wanted.build))
        return copies

    def _models_by_gain(self) -> list[_WorthwhileCopy]:
        """Return the models that gain by a copy, the highest gain first."""
        gains = [(self._copy_gain(spec), spec, '') for spec in self.spec.models]
        return sorted(
            (one for one in gains if one[0] >= _MIN_GAIN),
            key=lambda one: one[0],
            reverse=True,
        )

    def _copy_gain(self, spec: ModelSpec) -> float:
        """Return how many late requests per second another copy avoids.

        A model without a copy gains more the more requests wait for it.
        """
        load = self.loads.get(spec.name)
        if load is None:
            return 0
        copies = self.count_copies(spec.name)
        if copies == 0 and load.total_waiting:
            waiting = load.total_waiting / _WAIT_HORIZON_S
            return _FIRST_COPY_GAIN + waiting + load.requests_per_s
        return _late_requests_per_s(load, copies) - _late_requests_per_s(
            load, copies + 1
        )

    def _best_placement(
        self, spec: ModelSpec, gain: float, build: str
    ) -> _Placement | None:
        """Return the worthwhile placement with the lowest score, or None.

        It is at an upstream of `build`, if that is not empty.
        """
        places = [
            placement
            for ledger in _select_build(self.ledgers, self.builds, build)
            if (placement := self._find_placement(spec, ledger, gain))
            is not None
            and self._is_worthwhile(gain, placement.cost)
        ]
        return min(places, key=lambda placement: placement.score, default=None)

    def _is_worthwhile(self, gain: float, cost: float) -> bool:
        """Tell whether a copy's gain justifies the cost of the evictions."""
        return cost == 0 or gain > cost * _MIN_GAIN_COST_RATIO

    def _find_placement(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        gain: float,
    ) -> _Placement | None:
        """Return the placement of a copy at an upstream, None if impossible."""
        is_taken = spec.name in ledger.models or ledger.reserved_model
        is_limited = ledger.name in self.limits
        if is_limited and len(self.limits) < len(self.ledgers):
            return None
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
            + _delay_cost_per_s(gain)
            * self._load_delay_s(spec, ledger, victims)
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
        """Count the copies of a model in the failure domain of an upstream."""
        domain = self.failure_domains.get(ledger.name)
        return sum(
            spec.name in other.models
            for other in self._list_holders(spec.name)
            if self.failure_domains.get(other.name) == domain
        )

    def _load_delay_s(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        victims: tuple[str, ...],
    ) -> float:
        """Return the seconds that the evictions and the load would take."""
        evictions_s = sum(
            self._eviction_time_s(model, ledger) for model in victims
        )
        return evictions_s + load_time_s(spec, ledger)

    def _eviction_time_s(self, model: str, ledger: UpstreamLedger) -> float:
        """Return the expected seconds that evicting a model takes."""
        if self.running.get((ledger.name, model)):
            return _BUSY_EVICTION_S
        return _IDLE_EVICTION_S

    def _choose_victims(
        self,
        spec: ModelSpec,
        ledger: UpstreamLedger,
        gain: float,
    ) -> tuple[tuple[str, ...], float] | None:
        """Return the models to evict for `spec`, and the sum of their values.

        Copies of low value are evicted first; of copies of similar value, those
        without running requests. Returns None if evictions cannot free enough
        memory, or would remove a last copy that requests wait for.
        """
        lacking_mb = model_memory_mb(self.spec, spec.name)
        lacking_mb -= free_memory_mb(self.spec, ledger)
        victims: list[str] = []
        cost = 0.0
        values = {
            model: math.inf
            if self._is_kept(model, ledger)
            else self.copy_value(model)
            for model in ledger.held
        }
        delay_cost_per_s = _delay_cost_per_s(gain)
        prices = {
            model: worth
            + delay_cost_per_s * self._eviction_time_s(model, ledger)
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

    def _is_kept(self, model: str, ledger: UpstreamLedger) -> bool:
        """Tell whether only this copy could go on with streams.

        Those of lost entries ran at an upstream of its build. Others wait for a
        copy there; it was loaded for them, and they are about to be sent.
        """
        build = self.builds.get(ledger.name)
        is_needed = any(
            lost == model and self.builds.get(upstream) == build
            for upstream, lost in self.lost_streams
        ) or any(
            wanted.model == model and wanted.build == build
            for wanted in self.wanted_copies
        )
        return is_needed and not any(
            other is not ledger
            and self.builds.get(other.name) == build
            and _is_serving(model, other)
            for other in self._list_holders(model)
        )

    def _last_copy_value(self, model: str, load: ModelLoad) -> float:
        """Return how many late requests per second a missing model causes.

        Requests that were sent to the copy count as well: those that have not
        begun by the eviction are refused.
        """
        spec = self.spec.find_model(model)
        # Where its weights are kept, something else may have its place by then.
        load_s = spec.store_load_s if spec else 0.0
        missed = 1 + load.requests_per_s * load_s
        missed_per_s = min(load.requests_per_s, missed / _MISS_HORIZON_S)
        sent = sum(
            self.running.get((ledger.name, model), 0)
            for ledger in self._list_holders(model)
        )
        return _MISS_LOSS_RATIO * missed_per_s + sent / _MISS_HORIZON_S

    def _make_first_order(
        self,
        spec: ModelSpec,
        placement: _Placement,
        gain: float,
    ) -> PlannedOrder:
        """Return the load of a copy, or the first eviction that it needs."""
        reason = f'gain {gain:.3f} cost {placement.cost:.3f}'
        if not placement.evicted_models:
            return self._make_load_order(spec, placement.ledger, reason)
        return self._make_eviction_order(
            placement.evicted_models[0], spec, placement.ledger, reason
        )

    def _make_eviction_order(
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

    def _make_load_order(
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


def _is_serving(model: str, ledger: UpstreamLedger) -> bool:
    """Tell whether an upstream has a model loaded and keeps it."""
    return (
        model in ledger.held
        and model not in {ledger.loading, ledger.evicting}
        and model not in ledger.retiring
    )


def _count_serving(model: str, ledgers: Iterable[UpstreamLedger]) -> int:
    """Count the upstreams that have a model loaded and keep it."""
    return sum(_is_serving(model, ledger) for ledger in ledgers)


def _select_build(
    ledgers: Iterable[UpstreamLedger], builds: dict[str, str], build: str
) -> list[UpstreamLedger]:
    """Return the ledgers of the upstreams of a build; '' for any."""
    return [
        ledger for ledger in ledgers if build in {'', builds.get(ledger.name)}
    ]


def _late_requests_per_s(load: ModelLoad, copies: float) -> float:
    """Return the requests per second that are late with that many copies."""
    if copies <= 0:
        return load.requests_per_s
    use = load.upstreams_needed(PROMPT_TOKENS_PER_S) / copies
    late = max(0.0, 1 - _LATE_ABOVE_UTILIZATION / use) if use else 0.0
    return load.requests_per_s * (late + _UTILIZATION_SLOPE * min(1.0, use))


def _delay_cost_per_s(gain: float) -> float:
    """Return the cost of a second of delay, spread over a copy's life."""
    return max(gain, _MIN_DELAY_GAIN) / _COPY_LIFE_S


def load_time_s(spec: ModelSpec, ledger: UpstreamLedger) -> float:
    """Return the load time of a model at an upstream, by where it is cached."""
    if spec.name in ledger.in_memory and spec.memory_load_s:
        return spec.memory_load_s
    if spec.name in ledger.on_disk and spec.disk_load_s:
        return spec.disk_load_s
    return spec.store_load_s
