"""Runs the fleet's decisions on the control replica that leads.

Invariants: orders leave from one VM at a time. A new leader waits for its
turn (see `OrderLease`); a leader asks right before each order whether its own
lease still holds.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.control.shell import ControlNode
from persimmonhold.fleet import (
    AdapterRequest,
    EntryReport,
    FleetController,
    FleetMessage,
    FleetOrder,
    OrderVerdict,
    PlannedOrder,
)
from persimmonhold.forwarding._order_lease import OrderLease
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.tasks import wait_at_most
from persimmonhold.transport import Channel, Transport

_LIST_S: Final = 0.5  # a leaving upstream is known within a lag and this
_REPORT_S: Final = 0.4  # reports lag by 0.2 s themselves
_TICK_S: Final = 0.1  # reports while an order is being carried out
_PLAN_S: Final = 0.1
_UPDATE_S: Final = 0.1
_UPDATES_PER_S: Final = 100.0  # of all entries together
_LEAST_WAIT_S: Final = 0.002  # timers of the platform fire a little late
_LANE_POLL_S: Final = 0.05
_FENCE_BITS: Final = 24  # orders of one term


@final
class FleetTerm:
    """One leadership: its decisions and the tasks that carry them out."""

    __slots__ = (
        'controller',
        'issued_token_count',
        'lease_task',
        'order_tasks',
        'order_wakeups',
        'report_requested_at',
        'report_tasks',
    )

    def __init__(self, controller: FleetController) -> None:
        """Create a term without tasks."""
        self.controller = controller
        self.issued_token_count = 0
        self.order_tasks: dict[str, asyncio.Task[None]] = {}
        self.report_tasks: dict[str, asyncio.Task[None]] = {}
        self.order_wakeups: dict[str, asyncio.Event] = {}
        self.report_requested_at: dict[str, float] = {}
        self.lease_task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Cancel what is under way."""
        for task in (*self.order_tasks.values(), *self.report_tasks.values()):
            task.cancel()
        if self.lease_task is not None:
            self.lease_task.cancel()


@final
class FleetRunner:
    """Begins and ends terms; lists, reports, orders, updates and replies."""

    __slots__ = (
        'clock',
        'decoder',
        'next_plan_at',
        'node',
        'order_lease',
        'plan_wakeup',
        'term',
        'term_started',
        'transport',
        'upstream_client',
    )

    def __init__(
        self,
        node: ControlNode,
        transport: Transport,
        upstream_client: UpstreamClient,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create a runner; `lease_s` is that of a giver of orders."""
        self.node = node
        self.transport = transport
        self.upstream_client = upstream_client
        self.order_lease = OrderLease(node, lease_s, clock)
        self.clock = clock
        self.next_plan_at = 0.0
        self.term: FleetTerm | None = None
        self.plan_wakeup = asyncio.Event()
        self.term_started = asyncio.Event()
        self.decoder = msgspec.msgpack.Decoder[FleetMessage](FleetMessage)
        transport.subscribe(Channel.fleet, self.receive)

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_lists())
                group.create_task(self._read_reports())
                group.create_task(self._update_entries())
                await self._plan()
        finally:
            self._step_down()

    def receive(self, peer: str, payload: bytes) -> None:
        """Take a message of an entry."""
        term = self.term
        if term is None:
            return
        try:
            message = self.decoder.decode(payload)
        except msgspec.DecodeError as error:
            log_event('bad_message', LogLevel.warning, error=str(error))
            return
        if isinstance(message, EntryReport):
            term.controller.demand.record_report(peer, message, self.clock())
            if term.controller.has_unmet_demand(message):
                self.next_plan_at = 0.0
                self.plan_wakeup.set()
        elif isinstance(message, AdapterRequest):
            term.controller.request_adapter(peer, message, self.clock())
            self._wake(message.upstream)
            self.plan_wakeup.set()

    async def _plan(self) -> None:
        """Follow leadership, plan, and pass replies on as they are due."""
        while True:
            self._follow_leadership()
            now = self.clock()
            is_due = now >= self.next_plan_at or self._has_finished(now)
            if self.term is not None and is_due:
                self.next_plan_at = now + _PLAN_S
                self._plan_orders(self.term, now)
            if self.term is not None:
                self._send_replies(self.term, now)
            await self._wait()

    def _has_finished(self, now: float) -> bool:
        """Tell whether an order was foretold to be done by now."""
        return self.term is not None and self.term.controller.has_order_due(now)

    async def _wait(self) -> None:
        due = self.next_plan_at
        if self.term is not None:
            due = min(due, self.term.controller.next_due_at())
        self.plan_wakeup.clear()
        await wait_at_most(
            self.plan_wakeup, max(_LEAST_WAIT_S, due - self.clock())
        )

    def _follow_leadership(self) -> None:
        if not self.node.is_leader:
            self._step_down()
            return
        if (
            self.term is not None
            and self.term.controller.term != self.node.term
        ):
            self._step_down()
        if self.term is None:
            leader = FleetController(
                self.node.term, self.order_lease.compute_latest_start()
            )
            self.term = FleetTerm(leader)
            self.term.lease_task = asyncio.get_running_loop().create_task(
                self._take_turn(leader),
            )
            log_event('fleet_term_begins', term=self.node.term)
            self.term_started.set()
        self.term.controller.apply_routes(self.node.state.view.routes)

    async def _take_turn(self, leader: FleetController) -> None:
        """Let a term give orders as soon as no other VM can."""
        if await self.order_lease.acquire(leader.term, leader.orders_start_at):
            leader.activate(self.clock())
            self.next_plan_at = 0.0
            self.plan_wakeup.set()

    def _step_down(self) -> None:
        if self.term is not None:
            log_event('fleet_term_ends', term=self.term.controller.term)
            self.term.close()
        self.term = None

    def _plan_orders(self, term: FleetTerm, now: float) -> None:
        is_announced = term.controller.has_order_due(now)
        for planned in term.controller.plan_orders(now):
            _log_plan(planned)
            self._wake(planned.upstream)
            is_announced = is_announced or bool(planned.makes_room_for)
        if is_announced:
            # Entries send at once to a new copy, and no more to one that goes.
            self._push(term, self._entries())
        self._keep_lanes(term)

    def _keep_lanes(self, term: FleetTerm) -> None:
        """Have one task for each upstream that takes orders."""
        for upstream in tuple(term.order_tasks):
            if upstream not in term.controller.ledgers:
                term.order_tasks.pop(upstream).cancel()
                term.order_wakeups.pop(upstream)
        for upstream in term.controller.ledgers:
            if upstream not in term.order_tasks:
                term.order_wakeups[upstream] = asyncio.Event()
                term.order_tasks[upstream] = (
                    asyncio.get_running_loop().create_task(
                        self._run_lane(term, upstream),
                    )
                )

    def _wake(self, upstream: str) -> None:
        if self.term is not None and upstream in self.term.order_wakeups:
            self.term.order_wakeups[upstream].set()

    async def _run_lane(self, term: FleetTerm, upstream: str) -> None:
        """Give the orders of one upstream, one after the other."""
        woken = term.order_wakeups[upstream]
        while True:
            order = term.controller.next_order(upstream, self.clock())
            if order is not None:
                await self._give(term, upstream, order)
                continue
            woken.clear()
            await wait_at_most(woken, _LANE_POLL_S)

    async def _give(
        self,
        term: FleetTerm,
        upstream: str,
        order: FleetOrder,
    ) -> None:
        listed = term.controller.facts.listed[upstream]
        verdict = OrderVerdict.not_sent
        if self.node.is_leader and self.node.term == term.controller.term:
            term.issued_token_count += 1
            fence = (
                term.controller.term << _FENCE_BITS
            ) + term.issued_token_count
            verdict = await self.upstream_client.send_order(
                upstream,
                listed.address,
                order,
                fence,
            )
        term.controller.record_order_outcome(
            upstream, order, verdict, self.clock()
        )
        log_event(
            'order',
            upstream=upstream,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected,
            verdict=verdict.value,
        )
        self.plan_wakeup.set()
        if not order.adapter:
            self._push(term, self._entries())

    def _send_replies(self, term: FleetTerm, now: float) -> None:
        for entry, reply in term.controller.pop_due_replies(now):
            encoded = msgspec.msgpack.encode(reply)
            self.transport.send(entry, Channel.fleet, encoded)

    async def _read_lists(self) -> None:
        while True:
            term = self.term
            if term is not None:
                listed = await self.upstream_client.read_list()
                if isinstance(listed, Failed):
                    log_event('list_failed', detail=listed.failure().describe())
                else:
                    term.controller.apply_list(listed.unwrap(), self.clock())
            self.term_started.clear()
            await wait_at_most(self.term_started, _LIST_S)

    async def _read_reports(self) -> None:
        while True:
            term = self.term
            if term is not None:
                for upstream, ledger in tuple(term.controller.ledgers.items()):
                    interval_s = _REPORT_S if ledger.is_idle else _TICK_S
                    self._begin_report(term, upstream, interval_s)
            await asyncio.sleep(_TICK_S)

    def _begin_report(
        self,
        term: FleetTerm,
        upstream: str,
        interval_s: float,
    ) -> None:
        running = term.report_tasks.get(upstream)
        if running is not None and not running.done():
            return
        now = self.clock()
        if now < term.report_requested_at.get(upstream, 0) + interval_s:
            return
        term.report_requested_at[upstream] = now
        term.report_tasks[upstream] = asyncio.get_running_loop().create_task(
            self._read_report(term, upstream),
        )

    async def _read_report(self, term: FleetTerm, upstream: str) -> None:
        listed = term.controller.facts.listed[upstream]
        report = await self.upstream_client.read_report(
            upstream, listed.address
        )
        if isinstance(report, Failed):
            term.controller.record_report_failure(upstream)
            log_event('report_failed', detail=report.failure().describe())
        else:
            term.controller.apply_report(upstream, report.unwrap())
        self._wake(upstream)

    async def _update_entries(self) -> None:
        """Tell the entries of facts and of the load of the others."""
        while True:
            entries = self._entries()
            if self.term is not None:
                self._push(self.term, entries)
            interval_s = max(_UPDATE_S, len(entries) / _UPDATES_PER_S)
            await asyncio.sleep(interval_s)

    def _push(self, term: FleetTerm, entries: tuple[str, ...]) -> None:
        term.controller.facts.refresh(term.controller.ledgers)
        for entry in entries:
            update = term.controller.build_update(entry, self.clock())
            if update is not None:
                encoded = msgspec.msgpack.encode(update)
                self.transport.send(entry, Channel.fleet, encoded)

    def _entries(self) -> tuple[str, ...]:
        return tuple(
            vm.name for vm in self.node.state.vms.values() if vm.callers
        )


def _log_plan(planned: PlannedOrder) -> None:
    log_event(
        'placement',
        upstream=planned.upstream,
        kind=planned.order.kind.value,
        model=planned.order.model,
        makes_room_for=planned.makes_room_for,
        from_store=planned.is_from_store,
        reason=planned.reason,
    )
