"""Runs the fleet controller on the VM that leads the control group.

Invariants: only one VM sends orders at a time. A new leader first acquires
the order lease (see `OrderLease`); a leader checks right before each order
that it still leads in the same term. A term of the log has one controller:
while its leader's lease has lapsed, the controller is kept and nothing is sent,
so fencing tokens and the numbers of updates never begin again in a term.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.control.shell import ControlNode
from persimmonhold.fleet import (
    AdapterLoadRequest,
    CreditRequest,
    EntryReport,
    FleetController,
    FleetMessage,
    FleetOrder,
    OrderVerdict,
    PermitRequest,
    PlannedOrder,
    SlotRequest,
    SlotReturn,
)
from persimmonhold.forwarding._fleet_term import FleetTerm
from persimmonhold.forwarding._fleet_work_log import FleetWorkLog
from persimmonhold.forwarding._order_lease import OrderLease
from persimmonhold.forwarding._permit_server import PermitServer
from persimmonhold.forwarding._quarantine_server import QuarantineServer
from persimmonhold.forwarding._quota_server import QuotaServer
from persimmonhold.forwarding._stream_origin_server import StreamOriginServer
from persimmonhold.forwarding._term_leadership import TermLeadership
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.quarantine import PromptEvidence
from persimmonhold.streams import StreamOriginRequest
from persimmonhold.tasks import keep_running, wait_with_timeout
from persimmonhold.transport import Channel, Transport
from persimmonhold.usage import WorkspaceUsage

# A leaving upstream becomes known after the lag of the list plus this interval.
_LIST_INTERVAL_S: Final = 0.5
_IDLE_REPORT_INTERVAL_S: Final = 0.4  # reports themselves lag by 0.2 s
# Interval between report requests while the upstream executes an order.
_BUSY_REPORT_INTERVAL_S: Final = 0.1
_PLAN_INTERVAL_S: Final = 0.1
_MAX_UPDATE_WAIT_S: Final = 0.1
# Unmet demand starts planning at most this often.
_MIN_PLAN_INTERVAL_S: Final = 0.02
# Shortest wait between planning steps; timers fire slightly late.
_MIN_WAIT_S: Final = 0.002
# Between looks at an upstream without a planned order; new ones wake its task.
_IDLE_ORDER_POLL_INTERVAL_S: Final = 1.0
_ORDER_POLL_INTERVAL_S: Final = 0.05
_LEADERSHIP_POLL_S: Final = 0.02


@final
class FleetRunner:
    """Operates a fleet controller while this VM leads the control group.

    Each leadership term has a new controller, see `FleetTerm`. The runner
    reads the upstream list and the reports of upstreams for it, sends its
    orders to upstreams, and its updates and adapter replies to entries.
    """

    __slots__ = (
        '_quota_server',
        'clock',
        'decoder',
        'leadership',
        'next_plan_at',
        'order_lease',
        'origin_server',
        'permit_server',
        'plan_wakeup',
        'planned_at',
        'quarantine_server',
        'term',
        'term_started',
        'transport',
        'update_wakeup',
        'upstream_client',
        'work_log',
    )

    def __init__(
        self,
        node: ControlNode,
        transport: Transport,
        upstream_client: UpstreamClient,
        lease_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Create a runner and subscribe to the fleet channel.

        `lease_s` must pass between the orders of two VMs.
        """
        self.transport = transport
        self.upstream_client = upstream_client
        self.order_lease = OrderLease(node, lease_s, clock)
        self.permit_server = PermitServer(node, transport, clock)
        self.quarantine_server = QuarantineServer(transport, clock)
        self.origin_server = StreamOriginServer(node, transport, clock)
        self._quota_server = QuotaServer(
            node, transport, clock, self._list_entries
        )
        self.clock = clock
        self.leadership = TermLeadership(node)
        self.next_plan_at = 0.0
        self.planned_at = 0.0
        self.term: FleetTerm | None = None
        self.plan_wakeup = asyncio.Event()
        self.update_wakeup = asyncio.Event()
        self.term_started = asyncio.Event()
        self.decoder = msgspec.msgpack.Decoder[FleetMessage](FleetMessage)
        self.work_log = FleetWorkLog(clock())
        transport.set_receiver(Channel.fleet, self.handle_message)

    async def run(self) -> None:
        """Plan, issue orders and update entries until cancelled.

        Then the current term is ended. An error in planning ends the process,
        as it may have left a plan half made; other parts go on after one.
        """
        try:
            async with asyncio.TaskGroup() as group:
                for part, name in (
                    (self._poll_list, 'list'),
                    (self._poll_reports, 'reports'),
                    (self._run_entry_updates, 'updates'),
                    (self.origin_server.run, 'streams'),
                ):
                    group.create_task(keep_running(part, name))
                await self._run_planning()
        finally:
            self._end_term()

    def handle_message(self, peer: str, payload: bytes) -> None:
        """Pass a report or a request of an entry to the controller.

        Ignored while this VM does not lead. Unmet demand starts planning
        soon; an adapter request wakes the order task of its upstream; a permit
        request is answered at once.
        """
        term = self.term
        if term is None:
            return
        try:
            message = self.decoder.decode(payload)
        except msgspec.DecodeError as error:
            log_event('bad_message', LogLevel.warning, error=str(error))
            return
        if isinstance(message, EntryReport):
            self.work_log.report_count += 1
            is_new = term.controller.demand.record_report(
                peer, message, self.clock()
            )
            self.origin_server.record_report(message)
            self._quota_server.record_heard(term.controller, peer)
            self.quarantine_server.check_report(term.controller, peer, message)
            # The ages in an old report would make its statements seem newer.
            if is_new and self.permit_server.record_statements(
                term.controller, peer, message
            ):
                self._request_updates(term)
            if term.controller.has_unmet_demand(message):
                self.next_plan_at = min(
                    self.next_plan_at, self.planned_at + _MIN_PLAN_INTERVAL_S
                )
                self.plan_wakeup.set()
        elif isinstance(message, AdapterLoadRequest):
            term.controller.request_adapter(peer, message, self.clock())
            self._wake_order_task(message.upstream)
            self.plan_wakeup.set()
        elif isinstance(message, WorkspaceUsage):
            term.usage_book.record_usage(peer, message, self.clock())
        else:
            self._pass_to_servers(term.controller, peer, message)

    def _pass_to_servers(
        self, controller: FleetController, peer: str, message: FleetMessage
    ) -> None:
        if isinstance(message, PermitRequest | SlotRequest | SlotReturn):
            self.permit_server.handle_message(controller, peer, message)
        elif isinstance(message, CreditRequest):
            self._quota_server.answer_request(controller, peer, message)
        elif isinstance(message, StreamOriginRequest):
            self.origin_server.answer_request(peer, message)
        elif isinstance(message, PromptEvidence):
            self.quarantine_server.record_evidence(controller, peer, message)
            self.plan_wakeup.set()

    async def _run_planning(self) -> None:
        """Start and end terms, plan orders when due, and send adapter replies.

        Runs until cancelled.
        """
        while True:
            self._start_or_end_term()
            term = self.leadership.find_active(self.term)
            now = self.clock()
            if term is not None:
                # An order predicted to be complete by now is due as well.
                if now >= self.next_plan_at or term.controller.has_order_due(
                    now
                ):
                    self._plan_orders(term, now)
                self._send_due_replies(term, now)
                self.quarantine_server.decide_and_send(
                    term.controller, self._list_entries
                )
            await self._wait_until_due(term)

    async def _wait_until_due(self, term: FleetTerm | None) -> None:
        """Wait for the next planning time, predicted order end or wakeup.

        Without a term in which this VM leads, wait until leadership is checked
        again.
        """
        wait_s = _LEADERSHIP_POLL_S
        if term is not None:
            due = min(self.next_plan_at, term.controller.next_due_at())
            wait_s = max(_MIN_WAIT_S, due - self.clock())
        self.plan_wakeup.clear()
        await wait_with_timeout(self.plan_wakeup, wait_s)

    def _start_or_end_term(self) -> None:
        """Start or end a term if leadership changed; apply current routes.

        A term does not end when the leader's lease lapses: it may become valid
        again in the same term, which needs the same controller.
        """
        if self.term is not None and self.leadership.is_over(self.term):
            self._end_term()
        if not self.leadership.node.is_leader:
            return
        if self.term is None:
            controller = FleetController(
                self.leadership.node.term,
                self.order_lease.compute_latest_start(),
            )
            self.term = FleetTerm(controller)
            loop = asyncio.get_running_loop()
            self.term.lease_task = loop.create_task(
                self._acquire_order_lease(controller),
            )
            self.term.record_task = loop.create_task(
                self.origin_server.begin_term(controller.term),
            )
            log_event('fleet_term_begins', term=self.leadership.node.term)
            self.term_started.set()
        self.term.controller.apply_routes(
            self.leadership.node.state.view.routes
        )

    async def _acquire_order_lease(self, controller: FleetController) -> None:
        """Activate the controller once no other VM can issue orders."""
        if await self.order_lease.acquire(
            controller.term, controller.orders_start_at
        ):
            controller.activate(self.clock())
            self.next_plan_at = 0.0
            self.plan_wakeup.set()

    def _end_term(self) -> None:
        """Cancel the tasks of the current term, if there is one."""
        if self.term is not None:
            log_event(
                'fleet_term_ends',
                term=self.term.controller.term,
                issued_tokens=self.term.issued_token_count,
            )
            self.term.close()
        self.term = None

    def _plan_orders(self, term: FleetTerm, now: float) -> None:
        """Plan orders, wake the tasks that send them, and update entries."""
        self.next_plan_at = now + _PLAN_INTERVAL_S
        self.planned_at = now
        is_update_due = term.controller.has_order_due(now)
        for planned in term.controller.plan_orders(now):
            _log_plan(planned)
            self._wake_order_task(planned.upstream)
            is_update_due = is_update_due or bool(planned.makes_room_for)
        if is_update_due:
            # Lets entries use a new copy soon, and stop using one that is
            # about to be evicted.
            self._request_updates(term)
        self._update_order_tasks(term)
        self.work_log.record_plan(self.clock() - now)
        self.work_log.log_if_due(now)

    def _update_order_tasks(self, term: FleetTerm) -> None:
        """Run exactly one task for each upstream that accepts orders."""
        for upstream in tuple(term.order_tasks):
            if upstream not in term.controller.ledgers:
                term.order_tasks.pop(upstream).cancel()
                term.order_wakeups.pop(upstream)
        for upstream in term.controller.ledgers:
            if upstream not in term.order_tasks:
                term.order_wakeups[upstream] = asyncio.Event()
                term.order_tasks[upstream] = (
                    asyncio.get_running_loop().create_task(
                        self._run_order_task(term, upstream),
                    )
                )

    def _wake_order_task(self, upstream: str) -> None:
        if self.term is not None and upstream in self.term.order_wakeups:
            self.term.order_wakeups[upstream].set()

    async def _run_order_task(self, term: FleetTerm, upstream: str) -> None:
        """Issue the orders of one upstream in sequence."""
        wakeup = term.order_wakeups[upstream]
        while True:
            order = term.controller.next_order(upstream, self.clock())
            if order is not None:
                await self._issue_order(term, upstream, order)
                continue
            wakeup.clear()
            interval_s = _IDLE_ORDER_POLL_INTERVAL_S
            if _has_order_pending(term.controller, upstream):
                interval_s = _ORDER_POLL_INTERVAL_S
            await wait_with_timeout(wakeup, interval_s)

    async def _issue_order(
        self,
        term: FleetTerm,
        upstream: str,
        order: FleetOrder,
    ) -> None:
        """Send an order if this VM still leads, and record the verdict."""
        listed = term.controller.facts.listed[upstream]
        verdict = OrderVerdict.not_sent
        if self.leadership.may_act(term):
            verdict = await self.upstream_client.send_order(
                upstream,
                listed.address,
                order,
                term.issue_fencing_token(),
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
            self._request_updates(term)

    def _send_due_replies(self, term: FleetTerm, now: float) -> None:
        for entry, reply in term.controller.pop_due_replies(now):
            encoded = msgspec.msgpack.encode(reply)
            self.transport.send(entry, Channel.fleet, encoded)

    async def _poll_list(self) -> None:
        """Read the upstream list at intervals and at the start of a term.

        Runs until cancelled.
        """
        while True:
            term = self.leadership.find_active(self.term)
            if term is not None and await term.wait_for_record():
                asked_at = self.clock()
                listed = await self.upstream_client.read_list()
                if isinstance(listed, Failed):
                    log_event('list_failed', detail=listed.failure().describe())
                else:
                    read_at = self.clock()
                    usable = await self.origin_server.record_list(
                        listed.unwrap()
                    )
                    if usable is not None:
                        term.controller.apply_list(usable, read_at, asked_at)
            self.term_started.clear()
            await wait_with_timeout(self.term_started, _LIST_INTERVAL_S)

    async def _poll_reports(self) -> None:
        """Read the reports of all upstreams with models, until cancelled.

        An upstream is read more often while it executes a model order.
        """
        while True:
            term = self.leadership.find_active(self.term)
            if term is not None:
                for upstream, ledger in tuple(term.controller.ledgers.items()):
                    interval_s = (
                        _IDLE_REPORT_INTERVAL_S
                        if ledger.is_idle
                        else _BUSY_REPORT_INTERVAL_S
                    )
                    self._start_report_read(term, upstream, interval_s)
            await asyncio.sleep(_BUSY_REPORT_INTERVAL_S)

    def _start_report_read(
        self,
        term: FleetTerm,
        upstream: str,
        interval_s: float,
    ) -> None:
        """Start reading the report of an upstream at most once per interval.

        Does nothing while an earlier read of this upstream is running.
        """
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
        asked_at = self.clock()
        report = await self.upstream_client.read_report(
            upstream, listed.address
        )
        if isinstance(report, Failed):
            term.controller.record_report_failure(upstream, asked_at)
            log_event('report_failed', detail=report.failure().describe())
        else:
            term.controller.apply_report(upstream, report.unwrap(), asked_at)
        self._wake_order_task(upstream)

    async def _run_entry_updates(self) -> None:
        """Send a round of updates to all entries when due, until cancelled."""
        while True:
            wait_s = _MAX_UPDATE_WAIT_S
            term = self.leadership.find_active(self.term)
            if term is not None:
                wait_s = self._send_updates_if_due(term)
            self.update_wakeup.clear()
            await wait_with_timeout(self.update_wakeup, wait_s)

    def _request_updates(self, term: FleetTerm) -> None:
        """Have a round of updates sent before the next regular one."""
        term.controller.update_schedule.request_round()
        self.update_wakeup.set()

    def _send_updates_if_due(self, term: FleetTerm) -> float:
        """Send a round of updates if due; return the seconds to the next."""
        entries = self._list_entries()
        term.controller.entry_count = len(entries)
        schedule = term.controller.update_schedule
        if self.clock() >= schedule.due_at(len(entries)):
            self._send_updates(term, entries)
            schedule.record_round(self.clock())
        due_in_s = schedule.due_at(len(entries)) - self.clock()
        return min(_MAX_UPDATE_WAIT_S, max(_MIN_WAIT_S, due_in_s))

    def _send_updates(self, term: FleetTerm, entries: tuple[str, ...]) -> None:
        """Send the given entries the facts and loads that they lack."""
        term.controller.facts.refresh_all(term.controller.ledgers)
        for change in term.controller.facts.pop_leaving_changes():
            log_event(
                'upstream_leaving_changed', **msgspec.structs.asdict(change)
            )
        for entry in entries:
            update = term.controller.build_update(entry, self.clock())
            if update is not None:
                encoded = msgspec.msgpack.encode(update)
                self.transport.send(entry, Channel.fleet, encoded)
                self.work_log.record_update(len(encoded))

    def _list_entries(self) -> tuple[str, ...]:
        """Return the names of the VMs that serve callers."""
        return tuple(
            vm.name
            for vm in self.leadership.node.state.vms.values()
            if vm.callers
        )


def _has_order_pending(controller: FleetController, upstream: str) -> bool:
    """Tell whether a planned order or an adapter waits for an upstream."""
    scheduler = controller.adapter_schedulers.get(upstream)
    has_adapter = scheduler is not None and bool(scheduler.pending)
    return has_adapter or upstream in controller.planned


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
