"""Turns moves into orders and tracks each order to its single outcome.

An issuer belongs to one leadership. It returns actions; its host performs
them and reports the results. Committed state is applied after commits, and
the actions of a round depend only on that state and the observations, so that
an action whose commit failed is emitted again.

Invariants: an order is sent only after its intent is committed; a load intent
is emitted only for an engine on which no earlier order can still take effect
unobserved, and only if the worst-case ledger has enough free memory.
"""

from collections.abc import Iterable, Iterator
from typing import Final, final

from persimmonhold.catalogue import Catalogue, UpstreamEntry
from persimmonhold.messages import (
    Copy,
    CopyState,
    Inventory,
    Order,
    OrderOutcome,
)
from persimmonhold.placement._action import Action
from persimmonhold.placement._commit_copy import CommitCopy
from persimmonhold.placement._commit_intent import CommitIntent
from persimmonhold.placement._commit_order_end import CommitOrderEnd
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._evaluate_order import (
    evaluate_order,
    is_barrier_needed,
)
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._ledger_cache import LedgerCache
from persimmonhold.placement._memory_ledger import MemoryLedger
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._order_factory import (
    create_barrier_order,
    create_load_order,
    create_unload_order,
)
from persimmonhold.placement._order_progress import OrderProgress
from persimmonhold.placement._order_tracker import OrderTracker
from persimmonhold.placement._placement_state import PlacementState
from persimmonhold.placement._read_inventory import ReadInventory
from persimmonhold.placement._reconcile import (
    reconcile_copies,
    reconcile_unrecorded_items,
    with_state,
)
from persimmonhold.placement._withdrawal_tracker import (
    InForceCheck,
    WithdrawalTracker,
)
from persimmonhold.settings import PlacementSettings

# Bounds the rate of inventory reads if there are many idle engines.
_MAX_READS_PER_S: Final = 200

# Minimum delay added between inventory reads of a reachable engine that has no
# outstanding orders and no copy of a target that has a withdrawing copy.
_IDLE_READ_INTERVAL_S: Final = 2.0


@final
class OrderIssuer:
    """Issues and tracks the orders of one leadership.

    `watches` maps the name of an upstream to what was observed of its engine,
    `order_tracker` tracks the outstanding orders and `withdrawals` the copies
    that are being withdrawn.
    """

    __slots__ = (
        '_ledger_cache',
        '_quarantine_s',
        '_state',
        '_watched_revision',
        'order_tracker',
        'watches',
        'withdrawals',
    )

    def __init__(self, settings: PlacementSettings, now: float) -> None:
        """Create the issuer of a leadership that begins now."""
        self.watches: dict[str, EngineWatch] = {}
        self.withdrawals = WithdrawalTracker(self.watches)
        self.order_tracker = OrderTracker(settings, self.watches, now)
        self._quarantine_s = settings.quarantine_s
        self._state = PlacementState(-1, Catalogue(), {}, {})
        self._ledger_cache = LedgerCache()
        self._watched_revision = -1

    def apply_state(self, state: PlacementState, now: float) -> None:
        """Update orders, withdrawals and ledger from the committed state.

        A state with the index of the last one is ignored.
        """
        if state.index == self._state.index:
            return
        self._state = state
        self._update_watches(state.catalogue)
        self.order_tracker.apply_orders(state.orders, now)
        self.withdrawals.apply_state(state)
        self._ledger_cache.apply_state(state)

    def fork_ledger(self) -> MemoryLedger:
        """Return a fork of the worst-case memory ledger.

        Memory is also reserved for orders whose intent may or may not have
        been committed.
        """
        orders: dict[str, list[Order]] = {}
        for order in (
            *self._state.orders.values(),
            *self.order_tracker.unconfirmed,
        ):
            orders.setdefault(order.upstream, []).append(order)
            self._ledger_cache.stale_upstreams.add(order.upstream)
        return self._ledger_cache.fork_ledger(orders, self.watches)

    def copies_at(self, upstream: str) -> Iterable[Copy]:
        """Return the recorded copies at an upstream."""
        return self._ledger_cache.copies_by_upstream.get(upstream, {}).values()

    def issue_moves(
        self,
        moves: Iterable[Move],
        ledger: MemoryLedger,
        is_in_force: InForceCheck,
        now: float,
    ) -> tuple[Action, ...]:
        """Return the commits that start the moves that are safe now.

        Memory for the loads that are started is reserved in `ledger`. Moves
        that are not safe now are dropped; a later round plans them again if
        they are still needed.
        """
        planned = tuple(moves)
        loads = [move for move in planned if move.kind is MoveKind.load]
        return (
            *self._issue_loads(loads, ledger, now),
            *self._issue_withdrawals(planned, is_in_force),
        )

    def poll(self, is_in_force: InForceCheck, now: float) -> tuple[Action, ...]:
        """Return the actions that are due for orders, copies and engines.

        They end or send outstanding orders, reconcile copies with the last
        inventories, unload withdrawn copies and read inventories. New moves
        are started by `issue_moves`.
        """
        return (
            *self._end_completed_orders(),
            *self._reconcile_engines(),
            *self._advance_withdrawals(is_in_force, now),
            *self._issue_barriers(),
            *self.order_tracker.start_due_attempts(now),
            *self._start_due_reads(now),
        )

    def is_ready_for_loads(self, upstream: str) -> bool:
        """Tell whether an engine is reachable and clear of stale orders."""
        watch = self.watches.get(upstream)
        if watch is None or not watch.is_reachable:
            return False
        return watch.is_clear_of_stale_orders(self._quarantine_s)

    def record_order_answer(
        self,
        fence: int,
        outcome: OrderOutcome,
        now: float,
    ) -> None:
        """Record an engine's answer to the order with this fencing token."""
        progress = self.order_tracker.progress.get(fence)
        if progress is not None:
            progress.record_answer(outcome, now)

    def record_order_failure(
        self, fence: int, now: float, *, has_sent_bytes: bool
    ) -> None:
        """Record that an attempt to send an order got no clear answer.

        `has_sent_bytes` is False only if no byte of the order was written.
        """
        progress = self.order_tracker.progress.get(fence)
        if progress is not None:
            progress.record_failed_attempt(now, has_sent_bytes=has_sent_bytes)

    def record_inventory(
        self,
        upstream: str,
        inventory: Inventory,
        now: float,
    ) -> None:
        """Record the inventory that was read from an engine.

        If the engine has booted since the last one, the answers to its
        outstanding orders are discarded, so that the orders are sent again.
        """
        watch = self.watches.get(upstream)
        if watch is None:
            return
        if watch.record_inventory(inventory, self._state.index, now):
            for progress in self.order_tracker.queues.get(upstream, ()):
                progress.discard_answer(now)

    def record_read_failure(self, upstream: str, now: float) -> None:
        """Record a failed read of an engine's inventory."""
        watch = self.watches.get(upstream)
        if watch is not None:
            watch.record_read_failure(now)

    def _update_watches(self, catalogue: Catalogue) -> None:
        if catalogue.revision == self._watched_revision:
            return
        self._watched_revision = catalogue.revision
        engines = {
            upstream.name: upstream
            for upstream in catalogue.entries_of_type(UpstreamEntry)
            if upstream.is_engine
        }
        for gone in self.watches.keys() - engines.keys():
            self.watches.pop(gone)
        for name, engine in engines.items():
            watch = self.watches.setdefault(name, EngineWatch(name))
            watch.checks_fencing = engine.checks_fencing

    def _issue_loads(
        self,
        moves: Iterable[Move],
        ledger: MemoryLedger,
        now: float,
    ) -> Iterator[CommitIntent]:
        slots = {
            is_adapter: self.order_tracker.count_free_slots(
                now, is_adapter=is_adapter
            )
            for is_adapter in (False, True)
        }
        for move in moves:
            is_adapter = bool(move.base)
            if slots[is_adapter] > 0 and self._try_reserve_load(move, ledger):
                slots[is_adapter] -= 1
                yield CommitIntent(create_load_order(move), move.reason)

    def _try_reserve_load(self, move: Move, ledger: MemoryLedger) -> bool:
        if not self.is_ready_for_loads(move.place.upstream):
            return False
        if move.base and not self._is_base_serving(move):
            return False
        key = ItemKey(move.target, move.version)
        if ledger.has_item(move.place, key):
            return False
        if ledger.free_bytes(move.place) < move.memory_bytes:
            return False
        ledger.reserve(move.place, key, move.memory_bytes)
        return True

    def _is_base_serving(self, move: Move) -> bool:
        return any(
            copy.target == move.base
            and copy.accelerator == move.place.accelerator
            and copy.state is CopyState.serving
            for copy in self.copies_at(move.place.upstream)
        )

    def _issue_withdrawals(
        self,
        moves: Iterable[Move],
        is_in_force: InForceCheck,
    ) -> Iterator[CommitCopy]:
        newly_withdrawing: set[CopyKey] = set()
        for move in moves:
            if move.kind is not MoveKind.withdraw:
                continue
            key = (move.target, move.version, *move.place)
            copy = self._state.copies.get(key)
            if copy is None or key in newly_withdrawing:
                continue
            if (
                copy.state is CopyState.serving
                and self.withdrawals.can_withdraw(
                    copy, is_in_force, newly_withdrawing
                )
            ):
                newly_withdrawing.add(key)
                withdrawing = with_state(copy, CopyState.withdrawing)
                yield CommitCopy(withdrawing, move.reason)

    def _end_completed_orders(self) -> Iterator[Action]:
        for progress in self.order_tracker.progress.values():
            watch = self.watches.get(progress.order.upstream)
            if watch is None:
                fence = progress.order.fence
                yield CommitOrderEnd(fence, OrderOutcome.no_effect)
            else:
                yield from self._end_order(progress, watch)

    def _end_order(
        self,
        progress: OrderProgress,
        watch: EngineWatch,
    ) -> Iterator[Action]:
        evaluation = evaluate_order(progress, watch, self._quarantine_s)
        if evaluation is None:
            return
        order = progress.order
        copy = self._state.copies.get(copy_key(order))
        if evaluation.is_copy_ready and copy is None:
            yield CommitCopy(_create_serving_copy(order), 'ready')
        if evaluation.is_copy_gone and copy is not None:
            yield CommitCopy(copy, 'unloaded', gone=True)
        if evaluation.outcome is not None:
            progress.is_ending = True
            yield CommitOrderEnd(order.fence, evaluation.outcome)

    def _reconcile_engines(self) -> Iterator[Action]:
        for upstream in (
            self._ledger_cache.copies_by_upstream.keys() - self.watches.keys()
        ):
            for copy in self.copies_at(upstream):
                yield CommitCopy(copy, 'upstream removed', gone=True)
        for watch in self.watches.values():
            if watch.has_unreconciled_inventory:
                changes = tuple(self._reconcile_engine(watch))
                watch.has_unreconciled_inventory = bool(changes)
                yield from changes

    def _reconcile_engine(self, watch: EngineWatch) -> Iterator[Action]:
        copies = self.copies_at(watch.upstream)
        yield from reconcile_copies(
            copies, watch, self.order_tracker.copy_keys_of_orders
        )
        if watch.is_clear_of_stale_orders(self._quarantine_s):
            explained = self.order_tracker.copy_keys_of_orders.union(
                map(copy_key, copies)
            )
            catalogue = self._state.catalogue
            yield from reconcile_unrecorded_items(catalogue, watch, explained)

    def _advance_withdrawals(
        self, is_in_force: InForceCheck, now: float
    ) -> Iterator[Action]:
        for copy in self.withdrawals.withdrawing_copies:
            if copy_key(copy) in self.order_tracker.copy_keys_of_orders:
                continue
            if not self.withdrawals.can_withdraw(copy, is_in_force):
                serving = with_state(copy, CopyState.serving)
                yield CommitCopy(serving, 'no other copy serves')
            elif self.withdrawals.advance_drain(copy, is_in_force, now):
                yield CommitIntent(create_unload_order(copy), 'withdrawn')

    def _issue_barriers(self) -> Iterator[CommitIntent]:
        for watch in self.watches.values():
            if not watch.checks_fencing or not watch.is_reachable:
                continue
            engine = self._state.catalogue.find(watch.upstream)
            if isinstance(engine, UpstreamEntry) and self._is_barrier_needed(
                watch,
            ):
                yield CommitIntent(
                    create_barrier_order(engine), 'raise the fencing token'
                )

    def _is_barrier_needed(self, watch: EngineWatch) -> bool:
        queue = self.order_tracker.queues.get(watch.upstream, [])
        required_fences = [
            progress.order.fence
            for progress in queue
            if is_barrier_needed(progress, watch, self._quarantine_s)
        ]
        if not watch.is_clear_of_stale_orders(self._quarantine_s):
            required_fences.append(watch.boot_seen_index)
        highest_fence = queue[-1].order.fence if queue else 0
        return bool(required_fences) and highest_fence <= max(required_fences)

    def _start_due_reads(self, now: float) -> Iterator[ReadInventory]:
        idle_interval_s = max(
            _IDLE_READ_INTERVAL_S,
            len(self.watches) / _MAX_READS_PER_S,
        )
        for watch in self.watches.values():
            is_busy = (
                watch.upstream in self.order_tracker.queues
                or watch.upstream in self.withdrawals.replacement_upstreams
            )
            delay_s = (
                0 if is_busy or not watch.is_reachable else idle_interval_s
            )
            if watch.is_read_due(now, delay_s):
                watch.begin_read(now)
                yield ReadInventory(watch.upstream)


def _create_serving_copy(order: Order) -> Copy:
    return Copy(
        target=order.target,
        version=order.version,
        upstream=order.upstream,
        accelerator=order.accelerator,
        state=CopyState.serving,
        fence=order.fence,
        memory_bytes=order.memory_bytes,
        base=order.base,
    )
