"""The fleet controller's record of what one upstream holds.

Every order names the number of orders accepted before it, and an upstream
refuses any other number. What the upstream holds therefore follows from its
last report and the orders that it has accepted since, and a delayed or
duplicated order has no effect. Invariant: orders are issued only while
`is_content_known`, that is, while everything held or being loaded is known.
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
    """State of one upstream that runs models.

    `held` maps models to their adapters, including those being loaded.
    `loading` and `evicting` name the model of the order in progress, and
    `expected_done_at` is when it should be done. `reserved_model` is the
    model for which memory is reserved. `retiring` maps models about to be
    evicted to the time of that decision. `is_replaced` tells that another
    process answers at the address. `unconfirmed_evictions` maps models whose
    eviction is assumed to be done, but not confirmed by the upstream, to their
    adapters. No eviction is assumed to be done before `eviction_due_at`.
    """

    __slots__ = (
        'accepted_orders',
        'born_ms',
        'evicting',
        'eviction_due_at',
        'expected_done_at',
        'held',
        'in_memory',
        'is_replaced',
        'is_content_known',
        'loading',
        'name',
        'on_disk',
        'reserved_model',
        'reserved_until',
        'retiring',
        'unconfirmed_evictions',
    )

    def __init__(self, name: str) -> None:
        """Create the ledger of an upstream that has not reported yet."""
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
        self.is_content_known = False

    @property
    def is_idle(self) -> bool:
        """Tell whether a model order can be issued."""
        is_free = not self.loading and not self.evicting
        return self.is_content_known and is_free and not self.is_replaced

    @property
    def models(self) -> tuple[str, ...]:
        """The models that take memory, in no particular order."""
        if self.loading and self.loading not in self.held:
            return (*self.held, self.loading)
        return tuple(self.held)

    @property
    def cached_models(self) -> frozenset[str]:
        """The models that load without the weight store."""
        return self.in_memory | self.on_disk

    @property
    def adapter_count(self) -> int:
        """The number of adapter slots that may be in use at the upstream."""
        held = (*self.held.values(), *self.unconfirmed_evictions.values())
        return sum(len(adapters) for adapters in held)

    def apply_report(self, report: UpstreamReport) -> None:
        """Apply a report, unless it is older than the known state.

        A report made while the upstream was busy does not change the content.
        If it counts more orders than are known here, the content is unknown
        until the next report.
        """
        if report.born_ms != self.born_ms:
            if report.born_ms < self.born_ms:
                return
            self._reset_for_process(report.born_ms)
        self.in_memory = frozenset(report.in_memory)
        self.on_disk = frozenset(report.on_disk)
        if report.accepted_orders < self.accepted_orders:
            return
        if not report.is_busy:
            self._replace_content(report)
        elif report.accepted_orders > self.accepted_orders:
            self.is_content_known = False

    def record_order_outcome(
        self, order: FleetOrder, verdict: OrderVerdict
    ) -> None:
        """Record the verdict of the upstream on an order."""
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
                self.is_content_known = False

    def expect_completion(self, done_at: float) -> None:
        """Set when the accepted model order is expected to be done."""
        self.expected_done_at = done_at

    def predict_eviction_end(self, now: float, *, is_running: bool) -> None:
        """Expect an eviction to be done once no request of the model runs.

        `is_running` is what entries report; they show this earlier than the
        reports of the upstream.
        """
        if (
            self.evicting
            and math.isinf(self.expected_done_at)
            and not is_running
        ):
            self.expected_done_at = max(now, self.eviction_due_at)

    def complete_due_order(self, now: float) -> None:
        """Mark an order as done when it is due, before a report shows it.

        If it is not done, the upstream refuses the next order as a conflict,
        or answers requests for the model as not run.
        """
        if now < self.expected_done_at:
            return
        if self.loading:
            self.held.setdefault(self.loading, set())
            self.loading = ''
            self._clear_fulfilled_reservation()
        if self.evicting:
            self.unconfirmed_evictions[self.evicting] = self.held.pop(
                self.evicting, set()
            )
            self.retiring.pop(self.evicting, None)
            self.evicting = ''
        self.expected_done_at = math.inf

    def is_held(self, model: str, adapter: str = '') -> bool:
        """Tell whether a model, or an adapter of it, is loaded."""
        adapters = self.held.get(model)
        if adapters is None or model in {self.loading, self.evicting}:
            return False
        return not adapter or adapter in adapters

    def _apply_order(self, order: FleetOrder) -> None:
        """Record an accepted order.

        Adapter orders are recorded as done, model orders as in progress.
        """
        if order.adapter:
            adapters = self.held.setdefault(order.model, set())
            if order.kind is FleetOrderKind.load:
                adapters.add(order.adapter)
            else:
                adapters.discard(order.adapter)
        else:
            # An upstream accepts no model order while another is in progress,
            # so this one confirms earlier evictions.
            self.unconfirmed_evictions = {}
            if order.kind is FleetOrderKind.load:
                self.loading = order.model
            else:
                self.evicting = order.model

    def _record_no_change(self, order: FleetOrder) -> None:
        """Record an order without effect: its result was there before.

        The eviction of an adapter is recorded like an accepted one. After a
        model order the content is unknown until the next report.
        """
        if order.adapter and order.kind is FleetOrderKind.evict:
            self.accepted_orders = order.expected + 1
            self._apply_order(order)
        elif order.adapter:
            self.held.setdefault(order.model, set()).add(order.adapter)
        else:
            self.is_content_known = False

    def _record_conflict(self) -> None:
        """Mark evictions as in progress that were assumed done too early.

        Without such evictions, the content is unknown until the next report.
        """
        self.is_content_known = bool(self.unconfirmed_evictions)
        for model, adapters in self.unconfirmed_evictions.items():
            self.held[model] = adapters
            self.evicting = model
        self.unconfirmed_evictions = {}

    def _clear_fulfilled_reservation(self) -> None:
        """End the reservation of memory if its model is held."""
        if self.reserved_model in self.held:
            self.reserved_model = ''

    def _replace_content(self, report: UpstreamReport) -> None:
        """Replace the known content by that of a report.

        The report must show that the upstream is executing no model order.
        """
        self.accepted_orders = report.accepted_orders
        self.held = {held.name: set(held.adapters) for held in report.models}
        for model, adapter in report.loading_adapters:
            self.held.setdefault(model, set()).add(adapter)
        self._clear_fulfilled_reservation()
        self.retiring = {
            name: since
            for name, since in self.retiring.items()
            if name in self.held
        }
        self.unconfirmed_evictions = {}
        self.loading = ''
        self.evicting = ''
        self.expected_done_at = math.inf
        self.is_content_known = True

    def _reset_for_process(self, born_ms: int) -> None:
        """Clear the content, since a new process runs the upstream."""
        self.born_ms = born_ms
        self.is_replaced = False
        self.accepted_orders = 0
        self.held = {}
        self.unconfirmed_evictions = {}
        self.loading = ''
        self.evicting = ''
        self.reserved_model = ''
        self.retiring = {}
        self.expected_done_at = math.inf
        self.is_content_known = False
