"""What one upstream holds, as the VM that gives it orders knows.

Every order names the number of orders accepted before it, and an upstream
refuses any other number. So what it holds follows from the last state in
which that number was known, and a late or doubled order changes nothing.
Invariant: an order is given only in a settled state, in which what is held
and what is on its way is known in full.
"""

import math
from typing import final

from persimmonhold.fleet._fleet_order import (
    FleetOrder,
    FleetOrderKind,
    OrderVerdict,
)
from persimmonhold.fleet._upstream_report import UpstreamReport


@final
class UpstreamLedger:
    """State of one upstream with models.

    `held` holds the adapters by model, those on their way included.
    `loading` and `evicting` name the model whose order is being carried
    out, and `done_at` when it is expected to be done. `reserved` names a
    model that gets the room that is being made. `is_lost` tells that another
    process answers at the address. `departed` holds the adapters of a model
    that is taken as evicted before anything confirms it, which is not done
    before `eviction_due_at`.
    """

    __slots__ = (
        'accepted_orders',
        'born_ms',
        'unconfirmed_evictions',
        'expected_done_at',
        'eviction_due_at',
        'evicting',
        'held',
        'in_memory',
        'is_replaced',
        'is_settled',
        'loading',
        'name',
        'on_disk',
        'reserved_model',
        'reserved_until',
        'retiring',
    )

    def __init__(self, name: str) -> None:
        """Create the ledger of an upstream that was not asked yet."""
        self.name = name
        self.accepted_orders = 0
        self.born_ms = 0
        self.held: dict[str, set[str]] = {}
        self.unconfirmed_evictions: dict[str, set[str]] = {}
        self.loading = ''
        self.evicting = ''
        self.reserved_model = ''
        self.reserved_until = 0.0
        self.retiring: dict[str, float] = {}
        self.in_memory: frozenset[str] = frozenset()
        self.on_disk: frozenset[str] = frozenset()
        self.expected_done_at = math.inf
        self.eviction_due_at = 0.0
        self.is_replaced = False
        self.is_settled = False

    @property
    def is_idle(self) -> bool:
        """Tell whether an order of a model may be given."""
        is_free = not self.loading and not self.evicting
        return self.is_settled and is_free and not self.is_replaced

    @property
    def models(self) -> tuple[str, ...]:
        """The models that count against the room, in no special order."""
        if self.loading and self.loading not in self.held:
            return (*self.held, self.loading)
        return tuple(self.held)

    @property
    def cached_models(self) -> frozenset[str]:
        """The models that need not come from the store."""
        return self.in_memory | self.on_disk

    @property
    def adapter_count(self) -> int:
        """The number of adapter places that may be in use."""
        held = (*self.held.values(), *self.unconfirmed_evictions.values())
        return sum(len(adapters) for adapters in held)

    def apply_report(self, report: UpstreamReport) -> None:
        """Take a report; an older one than what is known changes nothing."""
        if report.born_ms != self.born_ms:
            if report.born_ms < self.born_ms:
                return
            self._reset(report.born_ms)
        self.in_memory = frozenset(report.in_memory)
        self.on_disk = frozenset(report.on_disk)
        if report.accepted_orders < self.accepted_orders:
            return
        if not report.is_busy:
            self._apply_settled_report(report)
        elif report.accepted_orders > self.accepted_orders:
            self.is_settled = False

    def record_order_outcome(
        self, order: FleetOrder, verdict: OrderVerdict
    ) -> None:
        """Take what the upstream said of an order."""
        match verdict:
            case OrderVerdict.accepted:
                self.accepted_orders = order.expected + 1
                self._apply_order(order)
            case OrderVerdict.holds:
                self._record_no_change(order)
            case OrderVerdict.other_process:
                self.is_replaced = True
            case OrderVerdict.conflict:
                self._record_conflict()
            case OrderVerdict.unknown_order:
                self.is_settled = False

    def expect_completion(self, at: float) -> None:
        """Expect the order of a model that was accepted to be done by then."""
        self.expected_done_at = at

    def predict_eviction(self, now: float, *, is_running: bool) -> None:
        """Expect an eviction to be done once nothing runs on the model.

        Entries tell so earlier than reports of the upstream.
        """
        if (
            self.evicting
            and math.isinf(self.expected_done_at)
            and not is_running
        ):
            self.expected_done_at = max(now, self.eviction_due_at)

    def complete_due_order(self, now: float) -> None:
        """Take an order as done at its time, before a report shows it.

        A wrong guess is refused as a conflict, or answered as not run.
        """
        if now < self.expected_done_at:
            return
        if self.loading:
            self.held.setdefault(self.loading, set())
            self.loading = ''
            self._clear_reservation()
        if self.evicting:
            self.unconfirmed_evictions[self.evicting] = self.held.pop(
                self.evicting, set()
            )
            self.retiring.pop(self.evicting, None)
            self.evicting = ''
        self.expected_done_at = math.inf

    def is_held(self, model: str, adapter: str = '') -> bool:
        """Tell whether a model, or an adapter of it, is held."""
        adapters = self.held.get(model)
        if adapters is None or model in {self.loading, self.evicting}:
            return False
        return not adapter or adapter in adapters

    def _apply_order(self, order: FleetOrder) -> None:
        if order.adapter:
            adapters = self.held.setdefault(order.model, set())
            if order.kind is FleetOrderKind.load:
                adapters.add(order.adapter)
            else:
                adapters.discard(order.adapter)
        else:
            # No order of a model is accepted while another is carried out.
            self.unconfirmed_evictions = {}
            if order.kind is FleetOrderKind.load:
                self.loading = order.model
            else:
                self.evicting = order.model

    def _record_no_change(self, order: FleetOrder) -> None:
        """Take that an order changed nothing.

        The eviction of an adapter is carried out at once and counted.
        """
        if order.adapter and order.kind is FleetOrderKind.evict:
            self.accepted_orders = order.expected + 1
            self._apply_order(order)
        elif order.adapter:
            self.held.setdefault(order.model, set()).add(order.adapter)
        else:
            self.is_settled = False

    def _record_conflict(self) -> None:
        """Ask for a report, or wait on for an eviction foretold too early."""
        self.is_settled = bool(self.unconfirmed_evictions)
        for model, adapters in self.unconfirmed_evictions.items():
            self.held[model] = adapters
            self.evicting = model
        self.unconfirmed_evictions = {}

    def _clear_reservation(self) -> None:
        if self.reserved_model in self.held:
            self.reserved_model = ''

    def _apply_settled_report(self, report: UpstreamReport) -> None:
        self.accepted_orders = report.accepted_orders
        self.held = {held.name: set(held.adapters) for held in report.models}
        for model, adapter in report.arriving:
            self.held.setdefault(model, set()).add(adapter)
        self._clear_reservation()
        self.retiring = {
            name: since
            for name, since in self.retiring.items()
            if name in self.held
        }
        self.unconfirmed_evictions = {}
        self.loading = ''
        self.evicting = ''
        self.expected_done_at = math.inf
        self.is_settled = True

    def _reset(self, born_ms: int) -> None:
        self.born_ms = born_ms
        self.accepted_orders = 0
        self.held = {}
        self.unconfirmed_evictions = {}
        self.loading = ''
        self.evicting = ''
        self.reserved_model = ''
        self.retiring = {}
        self.expected_done_at = math.inf
        self.is_settled = False
