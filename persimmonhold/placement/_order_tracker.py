"""Tracks outstanding orders and limits the load on the weight store.

Invariants: orders are sent to an engine in the order of their fencing tokens,
each only after the one before has been answered or, where the engine ignores
tokens, has ended; no more loads are in flight than the weight store serves at
full speed.
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
    """Progress of all outstanding orders of one leadership.

    `progress` holds it by fencing token, `queues` by upstream in the order of
    the tokens. `copy_keys_of_orders` names the copies that orders are about.
    `unconfirmed` holds the intents whose commit result is unknown; they stay
    reserved until they are committed or the leadership ends.
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
        """Track the committed orders; those of the first call are inherited.

        An inherited order may already have been sent by an earlier leader.
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

        Loads of adapters, with `is_adapter`, and of models are limited
        separately.
        """
        occupied = sum(
            self._takes_slot(progress, now)
            for progress in self.progress.values()
            if _is_load(progress.order, is_adapter=is_adapter)
        )
        occupied += sum(
            _is_load(order, is_adapter=is_adapter) for order in self.unconfirmed
        )
        return self._in_flight_limit(is_adapter=is_adapter) - occupied

    def start_due_attempts(self, now: float) -> Iterator[SendOrder]:
        """Start the attempts that are due and yield their `SendOrder`."""
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
        """Return whether an order may be sent now.

        A model load that may be sent counts against the load rate at once.
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
        if others >= self._in_flight_limit(is_adapter=is_adapter):
            return False
        if is_adapter:
            return True
        if self._load_limiter.can_send(now):
            self._load_limiter.record_send(now)
            return True
        return False

    def _in_flight_limit(self, *, is_adapter: bool) -> int:
        if is_adapter:
            return self._settings.adapters_in_flight
        return self._settings.loads_at_once

    def _takes_slot(self, progress: OrderProgress, now: float) -> bool:
        """Tell whether a load uses the weight store now or will soon."""
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
