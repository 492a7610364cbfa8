"""Decides, on the one VM that issues orders, what each upstream loads.

A controller lives for one leadership term of the control group. Its state is
built from the upstream list and from the reports of upstreams and entries.
None of it needs to be stored: each order names the number of orders accepted
before it, so the upstream refuses a stale order (see `UpstreamLedger`).
"""

import math
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.fleet._adapter_scheduler import AdapterScheduler
from persimmonhold.fleet._copy_planner import (
    CopyPlanner,
    PlannedOrder,
    load_time_s,
)
from persimmonhold.fleet._fleet_demand import FleetDemand
from persimmonhold.fleet._fleet_facts import FleetFacts
from persimmonhold.fleet._fleet_messages import (
    AdapterLoadReply,
    AdapterLoadRequest,
    EntryReport,
    FleetUpdate,
)
from persimmonhold.fleet._fleet_order import (
    FleetOrder,
    FleetOrderKind,
    OrderVerdict,
)
from persimmonhold.fleet._listed_upstream import ListedUpstream
from persimmonhold.fleet._model_load import ModelLoad
from persimmonhold.fleet._model_loading import find_loading_models
from persimmonhold.fleet._store_load_limiter import StoreLoadLimiter
from persimmonhold.fleet._update_schedule import (
    UpdateSchedule,
    shortest_interval_s,
)
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.fleet._upstream_report import UpstreamReport
from persimmonhold.fleet._weights_memory import free_memory_mb, model_memory_mb
from persimmonhold.quarantine import PromptQuarantine
from persimmonhold.routes import EngineSpec, ModelSpec, RoutingDocument

# Time for the entries to be told, and to stop sending requests for a model,
# before its eviction is ordered; added to the time to the next updates.
_RETIRE_NOTICE_S: Final = 0.05
# Time after which a planned order is cancelled. Requests that an eviction waits
# for end sooner.
_RESERVATION_S: Final = 4.0
_IDLE_EVICTION_S: Final = 0.03  # duration if no request of the model runs
_LOAD_SLACK_RATIO: Final = 1.05  # factor on the configured load time
_LOAD_SLACK_S: Final = 0.03  # added to the configured load time
_RETRY_PAUSE_S: Final = 0.1  # pause after an order that was not accepted


@final
class FleetController:
    """Plans the orders to upstreams and builds the updates for entries.

    `planned` has at most one model order for each upstream, until the upstream
    has responded to it or it is dropped. `load_limiters` is keyed by service;
    the other dictionaries are keyed by upstream. `replies` are (entry, reply)
    pairs not returned yet. No order is issued to an upstream before its
    `retry_at`.
    """

    __slots__ = (
        'adapter_schedulers',
        'demand',
        'entry_count',
        'document',
        'facts',
        'is_active',
        'ledgers',
        'load_limiters',
        'orders_start_at',
        'planned',
        'quarantine',
        'replies',
        'retry_at',
        'sequence',
        'term',
        'update_schedule',
    )

    def __init__(self, term: int, orders_start_at: float) -> None:
        """Create an inactive controller for a term.

        `orders_start_at` is when it is expected to become active. It issues
        no order before `activate` is called.
        """
        self.term = term
        self.orders_start_at = orders_start_at
        self.is_active = False
        self.document = RoutingDocument()
        self.facts = FleetFacts()
        self.demand = FleetDemand()
        self.ledgers: dict[str, UpstreamLedger] = {}
        self.adapter_schedulers: dict[str, AdapterScheduler] = {}
        self.load_limiters: dict[str, StoreLoadLimiter] = {}
        self.planned: dict[str, PlannedOrder] = {}
        self.quarantine = PromptQuarantine()
        self.replies: list[tuple[str, AdapterLoadReply]] = []
        self.retry_at: dict[str, float] = {}
        self.sequence = 0
        self.entry_count = 0
        self.update_schedule = UpdateSchedule()

    def activate(self, now: float) -> None:
        """Start issuing orders; the caller ensures that no other VM does."""
        self.is_active = True
        self.orders_start_at = now

    def apply_routes(self, document: RoutingDocument) -> None:
        """Use a routing document from now on."""
        self.document = document

    def find_engine(self, upstream: str) -> EngineSpec | None:
        """Return the engine specification of an upstream, or None.

        Only upstreams of services that run models have one.
        """
        listed = self.facts.listed.get(upstream)
        if listed is None:
            return None
        service = self.document.find_service(listed.service)
        return service.engine if service else None

    def apply_list(
        self,
        listed: Iterable[ListedUpstream],
        now: float,
        asked_at: float | None = None,
    ) -> None:
        """Track the upstreams of a complete list, and drop all others.

        It was requested at `asked_at`, by default now.
        """
        listed = tuple(listed)
        asked_at = now if asked_at is None else asked_at
        self.quarantine.record_list(
            ((one.name, one.born_ms) for one in listed), asked_at
        )
        moved = self.facts.list_moved(listed)
        for gone in (*moved, *self.facts.apply_list(listed, asked_at)):
            self.ledgers.pop(gone, None)
            self.adapter_schedulers.pop(gone, None)
            self.planned.pop(gone, None)
            self.retry_at.pop(gone, None)
        for name in self.facts.listed:
            if name not in self.ledgers and self.find_engine(name) is not None:
                self.ledgers[name] = UpstreamLedger(name)
                self.adapter_schedulers[name] = AdapterScheduler()
        self.facts.refresh_all(self.ledgers)

    def apply_report(
        self, upstream: str, report: UpstreamReport, asked_at: float = -math.inf
    ) -> None:
        """Update what is known of an upstream by its report.

        It was requested at `asked_at`.
        """
        self.quarantine.record_process((upstream, report.born_ms), asked_at)
        ledger = self.ledgers.get(upstream)
        if ledger is not None:
            ledger.apply_report(report)
            self.facts.record_report(
                upstream,
                report.born_ms,
                asked_at,
                is_leaving=report.is_leaving,
            )
            self.facts.refresh_one(upstream, ledger)

    def record_report_failure(
        self, upstream: str, asked_at: float = -math.inf
    ) -> None:
        """Record that an upstream did not answer a report request then."""
        self.facts.record_report_failure(upstream)
        self.facts.refresh_one(upstream, self.ledgers.get(upstream))
        facts = self.facts.by_upstream.get(upstream)
        if facts is not None and facts.is_silent:
            self.quarantine.record_unreachable(facts.process_key, asked_at)

    def has_unmet_demand(self, report: EntryReport) -> bool:
        """Tell whether an entry has requests waiting for an unavailable model.

        A model is available if an upstream holds it or reserves memory for it.
        """
        waiting = [
            one.model for one in report.demand if one.waiting and one.model
        ]
        if not waiting:
            return bool(report.wanted)
        held = {
            model
            for ledger in self.ledgers.values()
            for model in (*ledger.models, ledger.reserved_model)
        }
        return bool(report.wanted) or not held.issuperset(waiting)

    def request_adapter(
        self,
        entry: str,
        request: AdapterLoadRequest,
        now: float,
    ) -> None:
        """Enqueue the load of an adapter that an entry requests, or refuse it.

        In both cases `pop_due_replies` returns the reply.
        """
        ledger = self.ledgers.get(request.upstream)
        if ledger is None or not self.is_active:
            reason = 'no orders can be issued to this upstream now'
            reply = AdapterLoadReply(
                request_id=request.request_id,
                is_ready=False,
                reason=reason,
            )
        else:
            scheduler = self.adapter_schedulers[request.upstream]
            immediate_reply = scheduler.request_adapter(
                entry, request, ledger, now
            )
            if immediate_reply is None:
                return
            reply = immediate_reply
        self.replies.append((entry, reply))

    def pop_due_replies(self, now: float) -> list[tuple[str, AdapterLoadReply]]:
        """Remove and return the replies that are due, as (entry, reply)."""
        replies = self.replies
        self.replies = []
        for upstream, scheduler in self.adapter_schedulers.items():
            if scheduler.pending:
                replies.extend(
                    scheduler.pop_due_replies(self.ledgers[upstream], now)
                )
        return replies

    def plan_orders(self, now: float) -> tuple[PlannedOrder, ...]:
        """Plan the next model orders, and return those newly planned.

        Also marks orders in progress as done when they are due. Plans nothing
        while the controller is inactive.
        """
        running = self.demand.running_models
        for ledger in self.ledgers.values():
            is_running = (ledger.name, ledger.evicting) in running
            ledger.predict_eviction_end(now, is_running=is_running)
            ledger.complete_due_order(now)
        self.facts.loading = find_loading_models(self.ledgers.values(), now)
        if not self.is_active:
            return ()
        self.demand.drop_silent_entries(now)
        self.facts.drop_departures(
            self.demand.lowest_confirmed_number(self.term)
        )
        planned: list[PlannedOrder] = []
        for service in self.document.services:
            if service.engine is not None:
                planned.extend(
                    self._plan_service(service.name, service.engine, now),
                )
        return tuple(planned)

    def next_order(self, upstream: str, now: float) -> FleetOrder | None:
        """Return the order to issue to an upstream now, or None.

        Adapter orders take precedence over planned model orders.
        """
        ledger = self.ledgers.get(upstream)
        spec = self.find_engine(upstream)
        if ledger is None or spec is None or not self.is_active:
            return None
        ledger.complete_due_order(now)
        can_order = ledger.is_content_known and not ledger.is_replaced
        if not can_order or now < self.retry_at.get(upstream, 0):
            return None
        adapter_order = self.adapter_schedulers[upstream].next_order(
            ledger,
            spec,
            self.demand.adapters_in_use(upstream),
            now,
        )
        if adapter_order is not None:
            return adapter_order
        planned = self.planned.get(upstream)
        if planned is None or not ledger.is_idle:
            return None
        return self._prepare_planned_order(planned, ledger, now)

    def record_order_outcome(
        self,
        upstream: str,
        order: FleetOrder,
        verdict: OrderVerdict,
        now: float,
    ) -> None:
        """Record the verdict of an upstream on an order.

        Predicts when an accepted order is done, and pauses orders to the
        upstream after one that was not accepted.
        """
        ledger = self.ledgers.get(upstream)
        spec = self.find_engine(upstream)
        if ledger is None or spec is None:
            return
        ledger.record_order_outcome(order, verdict)
        if verdict is OrderVerdict.accepted and not order.adapter:
            self._predict_completion(ledger, order, spec, now)
        if verdict not in {OrderVerdict.accepted, OrderVerdict.holds}:
            self.retry_at[upstream] = now + _RETRY_PAUSE_S
            ledger.eviction_due_at = now + _RETRY_PAUSE_S
        if order.adapter:
            model = spec.find_model(order.model)
            adapter_mb = model.adapter_mb if model else 0
            self.adapter_schedulers[upstream].record_order_outcome(
                order, verdict, adapter_mb, now
            )
        elif verdict not in {OrderVerdict.unanswered, OrderVerdict.not_sent}:
            self.planned.pop(upstream, None)

    def next_due_at(self) -> float:
        """Return when the next order should be done; infinity if none runs."""
        dues = [one.next_due_at() for one in self.adapter_schedulers.values()]
        dues.extend(ledger.expected_done_at for ledger in self.ledgers.values())
        return min(dues, default=math.inf)

    def has_order_due(self, now: float) -> bool:
        """Tell whether a model order should be done but is not marked so."""
        return any(now >= one.expected_done_at for one in self.ledgers.values())

    def build_update(self, entry: str, now: float) -> FleetUpdate | None:
        """Return the update for an entry, or None before the first list.

        The update has the changes after the change number that the entry has
        confirmed. It has all facts if the entry has confirmed no number in
        this term, or if departures after that number were dropped.
        """
        if self.facts.listed_at is None:
            return None
        report = self.demand.last_reports.get(entry)
        is_known = report is not None and report.term == self.term
        base = report.number if report is not None and is_known else 0
        if base < self.facts.departures_dropped_to:
            base = 0
        facts, gone = self.facts.changed_since(base)
        self.sequence += 1
        return FleetUpdate(
            term=self.term,
            sequence=self.sequence,
            base=base,
            number=self.facts.last_change_number,
            list_age_s=now - self.facts.listed_at,
            facts=facts,
            gone=gone if base else (),
            others=self.demand.sum_other_loads(entry),
            orders_in_s=max(0, self.orders_start_at - now),
            waiting=self.demand.sum_other_waiting(entry),
            loading=self.facts.loading,
            speeds=self.demand.speeds.list_changes(now),
        )

    def _plan_service(
        self,
        service: str,
        spec: EngineSpec,
        now: float,
    ) -> list[PlannedOrder]:
        """Plan orders for one service until no further one is worthwhile."""
        loads = self.demand.model_loads.setdefault(service, {})
        for load in loads.values():
            load.update_averages(now, spec.slots)
        limiter = self.load_limiters.setdefault(service, StoreLoadLimiter(now))
        ledgers = self._plannable_ledgers(service)
        for ledger in ledgers:
            self._expire_reservation(ledger, now)
        planner = self._make_planner(spec, ledgers, loads, now)
        planner.can_evict = self.demand.is_warmed_up(now)
        planner.limits = self.facts.find_limits(ledgers)
        planner.wanted_copies = self.demand.list_wanted(service)
        planner.builds = {
            one.name: self.facts.by_upstream[one.name].build for one in ledgers
        }
        planner.lost_streams = self.demand.lost_streams.list_copies(now)
        orders: list[PlannedOrder] = []
        while len(orders) < len(ledgers):
            may_load = limiter.refill_and_check(spec.store_loads_per_s, now)
            planned = planner.plan_next_order(can_load_from_store=may_load)
            if planned is None:
                break
            if planned.is_from_store:
                limiter.record_load_start()
            self._schedule(planned, now)
            orders.append(planned)
        return orders

    def _make_planner(
        self,
        spec: EngineSpec,
        ledgers: list[UpstreamLedger],
        loads: dict[str, ModelLoad],
        now: float,
    ) -> CopyPlanner:
        domains = {
            name: one.failure_domain
            for name, one in self.facts.by_upstream.items()
        }
        return CopyPlanner(
            spec,
            ledgers,
            loads,
            domains,
            self.demand.slot_utilization(ledgers, spec),
            self.demand.running_models,
            self.planned.keys(),
            now,
        )

    def _plannable_ledgers(self, service: str) -> list[UpstreamLedger]:
        """Return the ledgers of a service's upstreams that accept orders."""
        return [
            self.ledgers[name]
            for name, facts in self.facts.by_upstream.items()
            if facts.service == service
            and name in self.ledgers
            and facts.is_serving
            and not self.ledgers[name].is_replaced
        ]

    def _schedule(self, planned: PlannedOrder, now: float) -> None:
        """Store a planned order, and reserve memory for its model."""
        ledger = self.ledgers[planned.upstream]
        self.planned[planned.upstream] = planned
        ledger.reserved_model = planned.makes_room_for or planned.order.model
        ledger.reserved_until = now + _RESERVATION_S
        if planned.makes_room_for:
            ledger.retiring[planned.order.model] = now

    def _predict_completion(
        self,
        ledger: UpstreamLedger,
        order: FleetOrder,
        spec: EngineSpec,
        now: float,
    ) -> None:
        """Predict when an accepted model order will be done.

        For an eviction, this sets only the earliest time. The end of a load is
        not predicted while so many loads run that they slow each other down.
        """
        if order.kind is FleetOrderKind.evict:
            ledger.eviction_due_at = now + _IDLE_EVICTION_S
            return
        loading = sum(bool(one.loading) for one in self.ledgers.values())
        model = spec.find_model(order.model)
        if model is not None and loading <= _undelayed_loads(spec, model):
            taken_s = load_time_s(model, ledger) * _LOAD_SLACK_RATIO
            ledger.expect_completion(now + taken_s + _LOAD_SLACK_S)

    def _expire_reservation(self, ledger: UpstreamLedger, now: float) -> None:
        """Cancel a planned order whose reservation has expired."""
        if ledger.reserved_model and now > ledger.reserved_until:
            ledger.reserved_model = ''
            if not ledger.evicting:
                ledger.retiring = {}
            self.planned.pop(ledger.name, None)

    def _prepare_planned_order(
        self,
        planned: PlannedOrder,
        ledger: UpstreamLedger,
        now: float,
    ) -> FleetOrder | None:
        """Return the order to issue for a plan, or None if it must wait.

        An eviction waits until the entries know of it. Also returns None after
        dropping an order that is no longer feasible.
        """
        model = planned.order.model
        is_eviction = planned.order.kind is FleetOrderKind.evict
        notice_s = shortest_interval_s(self.entry_count) + _RETIRE_NOTICE_S
        if is_eviction and now < ledger.retiring.get(model, 0) + notice_s:
            return None
        if not self._is_feasible(planned, ledger):
            self.planned.pop(planned.upstream, None)
            ledger.retiring.pop(model, None)
            return None
        return FleetOrder(
            kind=planned.order.kind,
            model=model,
            expected=ledger.accepted_orders,
        )

    def _is_feasible(
        self,
        planned: PlannedOrder,
        ledger: UpstreamLedger,
    ) -> bool:
        """Tell whether a planned order is still valid for the upstream."""
        model = planned.order.model
        if planned.order.kind is FleetOrderKind.evict:
            return model in ledger.held
        spec = self.find_engine(ledger.name)
        if spec is None or model in ledger.held:
            return False
        return free_memory_mb(spec, ledger) >= model_memory_mb(spec, model)


def _undelayed_loads(spec: EngineSpec, model: ModelSpec) -> int:
    """Return how many loads can run at once without slowing each other down.

    The weight store sustains its rate of loads at full speed.
    """
    return int(spec.store_loads_per_s * model.store_load_s)
