"""Turns moves into orders, and follows each order to its one outcome.

The issuer belongs to one leadership. It emits actions; its shell performs
them and reports what happened. Committed state is adopted after commits, and
the actions of a round follow from that state and the observations alone, so
that an action whose commit failed is simply emitted again.

Invariants: an order is sent only after its intent is committed; an intent of
a load is emitted only for an engine where no earlier order can still take
effect unseen, and only where the worst case leaves room for it.
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
from persimmonhold.placement._commit_end import CommitEnd
from persimmonhold.placement._commit_intent import CommitIntent
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._judge import judge, wants_barrier
from persimmonhold.placement._ledger_book import LedgerBook
from persimmonhold.placement._memory_ledger import MemoryLedger
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._new_orders import (
    barrier_order,
    load_order,
    unload_order,
)
from persimmonhold.placement._order_book import OrderTracker
from persimmonhold.placement._order_progress import OrderProgress
from persimmonhold.placement._placement_state import PlacementState
from persimmonhold.placement._read_inventory import ReadInventory
from persimmonhold.placement._reconcile import (
    reconcile_copies,
    reconcile_strays,
    with_state,
)
from persimmonhold.placement._withdrawals import InForce, Withdrawals
from persimmonhold.settings import PlacementSettings

_MAX_READS_PER_S: Final = 200
_IDLE_READ_INTERVAL_S: Final = 2.0


@final
class OrderIssuer:
    """Orders and observations of one leadership."""

    __slots__ = (
        '_ledgers',
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
        self.withdrawals = Withdrawals(self.watches)
        self.order_tracker = OrderTracker(settings, self.watches, now)
        self._quarantine_s = settings.quarantine_s
        self._state = PlacementState(-1, Catalogue(), {}, {})
        self._ledgers = LedgerBook()
        self._watched_revision = -1

    def apply_state(self, state: PlacementState, now: float) -> None:
        """Follow the committed state."""
        if state.index == self._state.index:
            return
        self._state = state
        self._watch_engines(state.catalogue)
        self.order_tracker.adopt(state.orders, now)
        self.withdrawals.adopt(state)
        self._ledgers.adopt(state)

    def fork_ledger(self) -> MemoryLedger:
        """Return the worst case over all that is known."""
        orders: dict[str, list[Order]] = {}
        for order in (
            *self._state.orders.values(),
            *self.order_tracker.unconfirmed,
        ):
            orders.setdefault(order.upstream, []).append(order)
            self._ledgers.stale.add(order.upstream)
        return self._ledgers.ledger(orders, self.watches)

    def copies_at(self, upstream: str) -> Iterable[Copy]:
        """Return the recorded copies at an upstream."""
        return self._ledgers.copies.get(upstream, {}).values()

    def issue(
        self,
        moves: Iterable[Move],
        ledger: MemoryLedger,
        is_in_force: InForce,
        now: float,
    ) -> tuple[Action, ...]:
        """Return the commits for those moves that are safe now."""
        planned = tuple(moves)
        loads = [move for move in planned if move.kind is MoveKind.load]
        return (
            *self._issue_loads(loads, ledger, now),
            *self._issue_withdrawals(planned, is_in_force),
        )

    def poll(self, is_in_force: InForce, now: float) -> tuple[Action, ...]:
        """Return what is to be done now, apart from the moves."""
        return (
            *self._ends(),
            *self._reconciliation(),
            *self._unloads(is_in_force, now),
            *self._barriers(),
            *self.order_tracker.sends(now),
            *self._reads(now),
        )

    def is_ready_for_loads(self, upstream: str) -> bool:
        """Tell whether an engine is observed and can take loads."""
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
        """Take a clear answer of an engine."""
        progress = self.order_tracker.progress.get(fence)
        if progress is not None:
            progress.answer(outcome, now)

    def record_order_failure(
        self, fence: int, now: float, *, has_sent_bytes: bool
    ) -> None:
        """Take the end of an attempt that had no clear answer."""
        progress = self.order_tracker.progress.get(fence)
        if progress is not None:
            progress.fail(now, delivered=has_sent_bytes)

    def record_inventory(
        self,
        upstream: str,
        inventory: Inventory,
        now: float,
    ) -> None:
        """Take an inventory whose reading this issuer asked for."""
        watch = self.watches.get(upstream)
        if watch is None:
            return
        if watch.record_inventory(inventory, self._state.index, now):
            for progress in self.order_tracker.queues.get(upstream, ()):
                progress.forget_answer(now)

    def record_read_failure(self, upstream: str, now: float) -> None:
        """Take the failure of a reading."""
        watch = self.watches.get(upstream)
        if watch is not None:
            watch.record_read_failure(now)

    def _watch_engines(self, catalogue: Catalogue) -> None:
        if catalogue.revision == self._watched_revision:
            return
        self._watched_revision = catalogue.revision
        engines = {
            upstream.name: upstream
            for upstream in catalogue.of_type(UpstreamEntry)
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
            is_adapter: self.order_tracker.free_slots(
                now, is_adapter=is_adapter
            )
            for is_adapter in (False, True)
        }
        for move in moves:
            is_adapter = bool(move.base)
            if slots[is_adapter] > 0 and self._may_load(move, ledger):
                slots[is_adapter] -= 1
                yield CommitIntent(load_order(move), move.reason)

    def _may_load(self, move: Move, ledger: MemoryLedger) -> bool:
        if not self.is_ready_for_loads(move.place.upstream):
            return False
        if move.base and not self._has_base(move):
            return False
        key = ItemKey(move.target, move.version)
        if ledger.has_item(move.place, key):
            return False
        if ledger.free_bytes(move.place) < move.memory_bytes:
            return False
        ledger.reserve(move.place, key, move.memory_bytes)
        return True

    def _has_base(self, move: Move) -> bool:
        return any(
            copy.target == move.base
            and copy.accelerator == move.place.accelerator
            and copy.state is CopyState.serving
            for copy in self.copies_at(move.place.upstream)
        )

    def _issue_withdrawals(
        self,
        moves: Iterable[Move],
        is_in_force: InForce,
    ) -> Iterator[CommitCopy]:
        withdrawn: set[CopyKey] = set()
        for move in moves:
            if move.kind is not MoveKind.withdraw:
                continue
            key = (move.target, move.version, *move.place)
            copy = self._state.copies.get(key)
            if copy is None or key in withdrawn:
                continue
            if (
                copy.state is CopyState.serving
                and self.withdrawals.may_withdraw(copy, is_in_force, withdrawn)
            ):
                withdrawn.add(key)
                withdrawing = with_state(copy, CopyState.withdrawing)
                yield CommitCopy(withdrawing, move.reason)

    def _ends(self) -> Iterator[Action]:
        for progress in self.order_tracker.progress.values():
            watch = self.watches.get(progress.order.upstream)
            if watch is None:
                fence = progress.order.fence
                yield CommitEnd(fence, OrderOutcome.no_effect)
            else:
                yield from self._end(progress, watch)

    def _end(
        self,
        progress: OrderProgress,
        watch: EngineWatch,
    ) -> Iterator[Action]:
        verdict = judge(progress, watch, self._quarantine_s)
        if verdict is None:
            return
        order = progress.order
        copy = self._state.copies.get(copy_key(order))
        if verdict.is_ready and copy is None:
            yield CommitCopy(_serving_copy(order), 'ready')
        if verdict.is_gone and copy is not None:
            yield CommitCopy(copy, 'unloaded', gone=True)
        if verdict.outcome is not None:
            progress.is_ending = True
            yield CommitEnd(order.fence, verdict.outcome)

    def _reconciliation(self) -> Iterator[Action]:
        for upstream in self._ledgers.copies.keys() - self.watches.keys():
            for copy in self.copies_at(upstream):
                yield CommitCopy(copy, 'upstream removed', gone=True)
        for watch in self.watches.values():
            if watch.has_news:
                changes = tuple(self._reconcile(watch))
                watch.has_news = bool(changes)
                yield from changes

    def _reconcile(self, watch: EngineWatch) -> Iterator[Action]:
        copies = self.copies_at(watch.upstream)
        yield from reconcile_copies(copies, watch, self.order_tracker.keys)
        if watch.is_clear_of_stale_orders(self._quarantine_s):
            explained = self.order_tracker.keys.union(map(copy_key, copies))
            catalogue = self._state.catalogue
            yield from reconcile_strays(catalogue, watch, explained)

    def _unloads(self, is_in_force: InForce, now: float) -> Iterator[Action]:
        for copy in self.withdrawals.withdrawing:
            if copy_key(copy) in self.order_tracker.keys:
                continue
            if not self.withdrawals.may_withdraw(copy, is_in_force):
                serving = with_state(copy, CopyState.serving)
                yield CommitCopy(serving, 'no other copy serves')
            elif self.withdrawals.may_unload(copy, is_in_force, now):
                yield CommitIntent(unload_order(copy), 'withdrawn')

    def _barriers(self) -> Iterator[CommitIntent]:
        for watch in self.watches.values():
            if not watch.checks_fencing or not watch.is_reachable:
                continue
            engine = self._state.catalogue.find(watch.upstream)
            if isinstance(engine, UpstreamEntry) and self._wants_barrier(
                watch,
            ):
                yield CommitIntent(barrier_order(engine), 'raise the number')

    def _wants_barrier(self, watch: EngineWatch) -> bool:
        queue = self.order_tracker.queues.get(watch.upstream, [])
        wanted = [
            progress.order.fence
            for progress in queue
            if wants_barrier(progress, watch, self._quarantine_s)
        ]
        if not watch.is_clear_of_stale_orders(self._quarantine_s):
            wanted.append(watch.boot_floor)
        highest = queue[-1].order.fence if queue else 0
        return bool(wanted) and highest <= max(wanted)

    def _reads(self, now: float) -> Iterator[ReadInventory]:
        idle_s = max(
            _IDLE_READ_INTERVAL_S,
            len(self.watches) / _MAX_READS_PER_S,
        )
        for watch in self.watches.values():
            is_busy = (
                watch.upstream in self.order_tracker.queues
                or watch.upstream in self.withdrawals.relied_on
            )
            delay_s = 0 if is_busy or not watch.is_reachable else idle_s
            if watch.wants_reading(now, delay_s):
                watch.begin_read(now)
                yield ReadInventory(watch.upstream)


def _serving_copy(order: Order) -> Copy:
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
