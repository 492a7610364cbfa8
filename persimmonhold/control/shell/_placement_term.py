"""Performs the placement actions of one leadership.

Commits are awaited. Orders and reads run as separate tasks: at most one of
each per engine, and a bounded number in total. Planning runs after changes
of the state and otherwise once a second. The pause after it is ten times its
duration, so it takes at most a tenth of the event loop's time in a system of
any size.
"""

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.control.machine import (
    Command,
    CommandResult,
    CommandStatus,
    RecordCopy,
    RecordIntent,
    RecordOrderEnd,
)
from persimmonhold.control.shell._placement_engine_client import (
    PlacementEngineClient,
)
from persimmonhold.control.shell._placement_host import PlacementHost
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import Order
from persimmonhold.observability import LogLevel, Metrics, log_event, metric
from persimmonhold.placement import (
    Action,
    CommitCopy,
    CommitIntent,
    CommitOrderEnd,
    PlacementLeader,
    PlacementState,
    ReadInventory,
    SendOrder,
)
from persimmonhold.web import Address, parse_address

_MAX_CONCURRENT_EXCHANGES: Final = 64
_MS_PER_S: Final = 1000
_PAUSE_PER_PLANNING_TIME: Final = 10
_PLAN_INTERVAL_S: Final = 1.0
_UNSENT_FAILURE_KINDS: Final = frozenset((
    FailureKind.connect_failed,
    FailureKind.not_leader,
))
_UNCOMMITTED_FAILURE_KINDS: Final = frozenset((
    FailureKind.not_leader,
    FailureKind.overloaded,
    FailureKind.refused,
))


@final
class PlacementTerm:
    """Sends orders, reads engines and commits records for one leadership."""

    __slots__ = (
        '_engine_client',
        '_exchange_slots',
        '_host',
        '_leader',
        '_metrics',
        '_next_plan_at',
        '_planned_index',
        '_planning_paused_until',
        '_tasks',
        'is_over',
    )

    def __init__(
        self,
        host: PlacementHost,
        leader: PlacementLeader,
        metrics: Metrics,
    ) -> None:
        """Prepare to perform placement for a leadership that has just begun."""
        self._host = host
        self._leader = leader
        self._engine_client = PlacementEngineClient(lambda: host.is_leader)
        self._metrics = metrics
        self._exchange_slots = asyncio.Semaphore(_MAX_CONCURRENT_EXCHANGES)
        self._next_plan_at: float = 0
        self._planned_index = -1
        self._planning_paused_until: float = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_over = False

    async def run_round(self) -> None:
        """Act on the progress of orders and copies, then plan moves if due."""
        leader = self._leader
        loop = asyncio.get_running_loop()
        leader.apply_state(build_placement_state(self._host), loop.time())
        actions = leader.poll(self._host.is_in_force, loop.time())
        await self._perform_actions(actions)
        leader.apply_state(build_placement_state(self._host), loop.time())
        if self._is_planning_due(loop.time()):
            await self._plan_moves()

    def close(self) -> None:
        """Cancel the tasks, which closes their connections."""
        for task in self._tasks:
            task.cancel()

    def _is_planning_due(self, now: float) -> bool:
        if now < self._planning_paused_until:
            return False
        has_changed = self._planned_index != self._host.state.index
        return has_changed or now >= self._next_plan_at

    async def _plan_moves(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._planned_index = self._host.state.index
        self._next_plan_at = started_at + _PLAN_INTERVAL_S
        moves = self._leader.plan_and_issue_moves(
            self._host.demand(),
            self._host.is_in_force,
            started_at,
            self._host.now_ms() / _MS_PER_S,
        )
        planning_s = loop.time() - started_at
        self._planning_paused_until = (
            loop.time() + planning_s * _PAUSE_PER_PLANNING_TIME
        )
        await self._perform_actions(moves)

    async def _perform_actions(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if self.is_over:
                return
            match action:
                case CommitIntent():
                    await self._commit_intent(action)
                case CommitOrderEnd():
                    await self._commit_order_end(action)
                case CommitCopy():
                    await self._commit_copy(action)
                case SendOrder():
                    self._start_task(self._send_order(action.order))
                case ReadInventory():
                    self._start_task(self._read_engine(action.upstream))

    async def _commit_intent(self, action: CommitIntent) -> None:
        command = RecordIntent(
            at_ms=self._host.now_ms(),
            order=action.order,
            reason=action.reason,
        )
        proposed = await self._propose(command)
        if isinstance(proposed, Failed):
            kind = proposed.failure().kind
            if kind not in _UNCOMMITTED_FAILURE_KINDS:
                self._leader.issuer.order_tracker.unconfirmed.append(
                    action.order
                )
            return
        _log_order('order intended', action.order, action.reason)

    async def _commit_order_end(self, action: CommitOrderEnd) -> None:
        command = RecordOrderEnd(
            at_ms=self._host.now_ms(),
            fence=action.fence,
            outcome=action.outcome,
        )
        progress = self._leader.issuer.order_tracker.progress.get(action.fence)
        if await self._try_commit(command) and progress is not None:
            _log_order('order ended', progress.order, action.outcome.value)
            self._metrics.increment(
                metric.ORDERS,
                kind=progress.order.kind.value,
                outcome=action.outcome.value,
            )

    async def _commit_copy(self, action: CommitCopy) -> None:
        command = RecordCopy(
            at_ms=self._host.now_ms(),
            copy=action.copy,
            gone=action.gone,
        )
        if await self._try_commit(command):
            log_event(
                'copy gone' if action.gone else 'copy changed',
                target=action.copy.target,
                version=action.copy.version,
                upstream=action.copy.upstream,
                state=action.copy.state.value,
                reason=action.reason,
            )

    async def _try_commit(self, command: Command) -> bool:
        """Propose a command; return whether its status is `done`."""
        proposed = await self._propose(command)
        if isinstance(proposed, Failed):
            return False
        return proposed.unwrap().status is CommandStatus.done

    async def _propose(
        self,
        command: Command,
    ) -> Result[CommandResult, Failure]:
        """Commit a command; the failure `not_leader` ends this leadership.

        The host may become the leader again before the next check. In
        between, another leader may have sent orders unknown to this one.
        """
        proposed = await self._host.propose(command)
        if isinstance(proposed, Failed):
            kind = proposed.failure().kind
            self.is_over = self.is_over or kind is FailureKind.not_leader
        return proposed

    def _start_task(self, exchange: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(exchange)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, order: Order) -> None:
        loop = asyncio.get_running_loop()
        issuer = self._leader.issuer
        peer = self._find_address(order.upstream)
        if peer is None:
            issuer.record_order_failure(
                order.fence, loop.time(), has_sent_bytes=False
            )
            return
        async with self._exchange_slots:
            answered = await self._engine_client.send_order(peer, order)
        if isinstance(answered, Failed):
            failure = answered.failure()
            may_have_sent_bytes = failure.kind not in _UNSENT_FAILURE_KINDS
            issuer.record_order_failure(
                order.fence, loop.time(), has_sent_bytes=may_have_sent_bytes
            )
            log_event(
                'order not answered',
                LogLevel.warning,
                fence=order.fence,
                failure=failure.describe(),
            )
            return
        answer = answered.unwrap()
        issuer.record_order_answer(order.fence, answer.outcome, loop.time())
        _log_order('order answered', order, answer.outcome.value)

    async def _read_engine(self, upstream: str) -> None:
        loop = asyncio.get_running_loop()
        peer = self._find_address(upstream)
        if peer is None:
            self._leader.issuer.record_read_failure(upstream, loop.time())
            return
        async with self._exchange_slots:
            watch = self._leader.issuer.watches.get(upstream)
            if watch is not None:
                watch.begin_read(loop.time())
            inventory = await self._engine_client.read_inventory(peer)
            if isinstance(inventory, Failed):
                self._leader.issuer.record_read_failure(upstream, loop.time())
                return
            self._leader.issuer.record_inventory(
                upstream,
                inventory.unwrap(),
                loop.time(),
            )
            started_at = loop.time()
            report = await self._engine_client.read_load(peer)
        if not isinstance(report, Failed):
            self._leader.record_load_report(
                upstream, report.unwrap(), started_at
            )

    def _find_address(self, upstream: str) -> Address | None:
        entry = self._host.state.catalogue.find(upstream)
        if not isinstance(entry, UpstreamEntry):
            return None
        return parse_address(entry.address).value_or(None)


def build_placement_state(host: PlacementHost) -> PlacementState:
    """Return the parts of the applied state that placement reads."""
    state = host.state
    return PlacementState(
        state.index,
        state.catalogue,
        dict(state.copies),
        dict(state.orders),
    )


def _log_order(event: str, order: Order, detail: str) -> None:
    log_event(
        event,
        fence=order.fence,
        kind=order.kind.value,
        upstream=order.upstream,
        accelerator=order.accelerator,
        target=order.target,
        version=order.version,
        memory_bytes=order.memory_bytes,
        detail=detail,
    )
