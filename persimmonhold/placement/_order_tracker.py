"""Tracks outstanding orders and limits the load on the weight store.

Invariants: orders are sent to an engine in the order of their fencing tokens;
an order is sent only after the order before it has been answered or, if the
engine ignores tokens, has ended; no more loads are in flight than the weight
store serves at full speed.
"""

from collections.abc import Iterator, Mapping
from typing import final

from persimmonhold.messages import Order, OrderKind, Residency
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._load_rate_limiter import LoadRateLimiter
from persimmonhold.placement._order_progress import OrderProgress
from persimmonhold.placement._send_order import SendOrder
from persimmonhold.settings import PlacementSettings


@final
class OrderTracker:
    """Tracks the outstanding orders of one leadership.

    `progress` maps the fencing token of each order to its progress; `queues`
    maps each upstream to the progress of its orders, lowest token first.
    `copy_keys_of_orders` are the keys of the copies that outstanding orders
    load or unload. `unconfirmed` lists the orders whose intent may or may not
    have been committed: each keeps its load slot and its memory reserved until
    the order is seen in the committed state or the leadership ends.
    """

    __slots__ = (
        '_has_applied_orders',
        '_load_limiter',
        '_settings',
        '_watches',
        'copy_keys_of_orders',
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
        """Create the tracker of a leadership that begins now."""
        self.progress: dict[int, OrderProgress] = {}
        self.queues: dict[str, list[OrderProgress]] = {}
        self.copy_keys_of_orders: frozenset[CopyKey] = frozenset()
        self.unconfirmed: list[Order] = []
        self._has_applied_orders = False
        self._load_limiter = LoadRateLimiter(settings.loads_per_second, now)
        self._settings = settings
        self._watches = watches

    def apply_orders(self, orders: Mapping[int, Order], now: float) -> None:
        """Update the tracked orders to exactly those in committed state.

        The orders of the first call are tracked as inherited: an earlier
        leader may already have sent them.
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
                    is_inherited=not self._has_applied_orders,
                )
                self._remove_unconfirmed(orders[fence])
            self.progress[fence] = progress
            queue = self.queues.setdefault(progress.order.upstream, [])
            queue.append(progress)
        self.copy_keys_of_orders = frozenset(
            copy_key(order) for order in orders.values()
        )
        self._has_applied_orders = True

    def count_free_slots(self, now: float, *, is_adapter: bool) -> int:
        """Return how many more load intents may be committed.

        Adapter loads and model loads have separate limits; `is_adapter`
        selects which of the two is returned. The result may be negative.
        """
        occupied = sum(
            self._occupies_load_slot(progress, now)
            for progress in self.progress.values()
            if _is_load(progress.order, is_adapter=is_adapter)
        )
        occupied += sum(
            _is_load(order, is_adapter=is_adapter) for order in self.unconfirmed
        )
        return self._max_loads_in_flight(is_adapter=is_adapter) - occupied

    def start_due_attempts(self, now: float) -> Iterator[SendOrder]:
        """Start each due attempt to send an order and yield its action."""
        for upstream, queue in self.queues.items():
            watch = self._watches.get(upstream)
            if watch is None or not watch.is_reachable:
                continue
            for progress in _unblocked_orders(queue, watch):
                if self._try_admit_attempt(progress, now):
                    progress.begin_attempt()
                    yield SendOrder(progress.order)

    def _remove_unconfirmed(self, order: Order) -> None:
        for unconfirmed in self.unconfirmed:
            if copy_key(unconfirmed) == copy_key(order):
                self.unconfirmed.remove(unconfirmed)
                return

    def _try_admit_attempt(self, progress: OrderProgress, now: float) -> bool:
        """Return whether an order is due and the load limits let it be sent.

        If so and it loads a model, the load is counted against the load rate.
        """
        if not progress.is_send_due(now):
            return False
        is_adapter = bool(progress.order.base)
        if not _is_load(progress.order, is_adapter=is_adapter):
            return True
        others = sum(
            self._is_load_in_flight(other, now)
            for other in self.progress.values()
            if other is not progress
            and _is_load(other.order, is_adapter=is_adapter)
        )
        if others >= self._max_loads_in_flight(is_adapter=is_adapter):
            return False
        if is_adapter:
            return True
        if self._load_limiter.can_send(now):
            self._load_limiter.record_send(now)
            return True
        return False

    def _max_loads_in_flight(self, *, is_adapter: bool) -> int:
        if is_adapter:
            return self._settings.adapters_in_flight
        return self._settings.loads_at_once

    def _occupies_load_slot(self, progress: OrderProgress, now: float) -> bool:
        """Tell whether a load occupies a slot of the limit on loads in flight.

        A load that was not sent yet occupies one if its engine is reachable.
        """
        if progress.is_sent:
            return self._is_load_in_flight(progress, now)
        watch = self._watches.get(progress.order.upstream)
        return watch is not None and watch.is_reachable

    def _is_load_in_flight(self, progress: OrderProgress, now: float) -> bool:
        """Tell whether the weight store may be serving a load now."""
        if not progress.is_sent:
            return False
        if progress.is_attempt_open:
            return True
        watch = self._watches.get(progress.order.upstream)
        held = watch.find_item(progress.order) if watch else None
        if watch and held and watch.is_reachable:
            return held.residency is not Residency.ready
        return now < progress.attempt_ended_at + self._settings.quarantine_s


def _unblocked_orders(
    queue: list[OrderProgress],
    watch: EngineWatch,
) -> Iterator[OrderProgress]:
    """Yield the orders of an engine up to the first that blocks the rest.

    An order blocks later ones until it is answered; if the engine ignores
    fencing tokens, until it has ended.
    """
    for progress in queue:
        yield progress
        if progress.outcome is None or not watch.checks_fencing:
            return


def _is_load(order: Order, *, is_adapter: bool) -> bool:
    return order.kind is OrderKind.load and bool(order.base) is is_adapter
