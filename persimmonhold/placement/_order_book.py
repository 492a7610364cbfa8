"""The orders that have not ended, and the pace of the weight store.

Invariants: to an engine orders go out in the order of their numbers, the
next one after a clear answer to the one before, and where numbers are ignored
after its end; no more loads are in flight than the weight store serves at
full speed.
"""

from collections.abc import Iterator, Mapping
from typing import final

from persimmonhold.messages import Order, OrderKind, Residency
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._load_pacer import LoadPacer
from persimmonhold.placement._order_progress import OrderProgress
from persimmonhold.placement._send_order import SendOrder
from persimmonhold.settings import PlacementSettings


@final
class OrderTracker:
    """Progress of all outstanding orders of one leadership.

    `unsure` are the intents whose commit had an unknown result; they stay
    reserved until they are committed or the leadership ends.
    """

    __slots__ = (
        '_adopted',
        '_pacer',
        '_settings',
        '_watches',
        'keys',
        'progress',
        'queues',
        'unconfirmed',
    )

    def __init__(
        self,
        settings: PlacementSettings,
        watches: Mapping[str, EngineWatch],
        now: float,
    ) -> None:
        """Create the book of a leadership that begins now."""
        self.progress: dict[int, OrderProgress] = {}
        self.queues: dict[str, list[OrderProgress]] = {}
        self.keys: frozenset[CopyKey] = frozenset()
        self.unconfirmed: list[Order] = []
        self._adopted = False
        self._pacer = LoadPacer(settings.loads_per_second, now)
        self._settings = settings
        self._watches = watches

    def adopt(self, orders: Mapping[int, Order], now: float) -> None:
        """Follow the committed orders; those of the first call are inherited.

        An order that another leader committed may have been sent by it.
        """
        known = self.progress
        self.progress = {}
        self.queues = {}
        for fence in sorted(orders):
            progress = known.get(fence)
            if progress is None:
                progress = OrderProgress(
                    orders[fence],
                    now,
                    inherited=not self._adopted,
                )
                self._forget_unsure(orders[fence])
            self.progress[fence] = progress
            queue = self.queues.setdefault(progress.order.upstream, [])
            queue.append(progress)
        self.keys = frozenset(copy_key(order) for order in orders.values())
        self._adopted = True

    def free_slots(self, now: float, *, is_adapter: bool) -> int:
        """Return how many more intents of loads may be committed."""
        taken = sum(
            self._takes_slot(progress, now)
            for progress in self.progress.values()
            if _is_load(progress.order, is_adapter=is_adapter)
        )
        taken += sum(
            _is_load(order, is_adapter=is_adapter) for order in self.unconfirmed
        )
        return self._limit(is_adapter=is_adapter) - taken

    def sends(self, now: float) -> Iterator[SendOrder]:
        """Start the attempts that are due."""
        for upstream, queue in self.queues.items():
            watch = self._watches.get(upstream)
            if watch is None or not watch.is_reachable:
                continue
            for progress in _sendable(queue, watch):
                if self._keeps_pace(progress, now):
                    progress.send()
                    yield SendOrder(progress.order)

    def _forget_unsure(self, order: Order) -> None:
        for unsure in self.unconfirmed:
            if copy_key(unsure) == copy_key(order):
                self.unconfirmed.remove(unsure)
                return

    def _keeps_pace(self, progress: OrderProgress, now: float) -> bool:
        if not progress.wants_sending(now):
            return False
        is_adapter = bool(progress.order.base)
        if not _is_load(progress.order, is_adapter=is_adapter):
            return True
        others = sum(
            self._is_in_flight(other, now)
            for other in self.progress.values()
            if other is not progress
            and _is_load(other.order, is_adapter=is_adapter)
        )
        if others >= self._limit(is_adapter=is_adapter):
            return False
        if is_adapter:
            return True
        if self._pacer.may_send(now):
            self._pacer.note_send(now)
            return True
        return False

    def _limit(self, *, is_adapter: bool) -> int:
        if is_adapter:
            return self._settings.adapters_in_flight
        return self._settings.loads_at_once

    def _takes_slot(self, progress: OrderProgress, now: float) -> bool:
        if progress.is_sent:
            return self._is_in_flight(progress, now)
        watch = self._watches.get(progress.order.upstream)
        return watch is not None and watch.is_reachable

    def _is_in_flight(self, progress: OrderProgress, now: float) -> bool:
        """Tell whether the weight store may be serving a load."""
        if not progress.is_sent:
            return False
        if progress.is_open:
            return True
        watch = self._watches.get(progress.order.upstream)
        held = watch.find(progress.order) if watch else None
        if watch and held and watch.is_reachable:
            return held.residency is not Residency.ready
        return now < progress.closed_at + self._settings.quarantine_s


def _sendable(
    queue: list[OrderProgress],
    watch: EngineWatch,
) -> Iterator[OrderProgress]:
    """Yield the orders of an engine up to the first that holds up others."""
    for progress in queue:
        yield progress
        if progress.outcome is None or not watch.checks_fencing:
            return


def _is_load(order: Order, *, is_adapter: bool) -> bool:
    return order.kind is OrderKind.load and bool(order.base) is is_adapter
