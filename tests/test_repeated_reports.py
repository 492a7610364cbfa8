"""Reports of an upstream that arrive late, twice or in another order.

A report names no request. It is judged by the start of its process and by its
count of orders, so that an earlier one never makes an upstream take more models
than it has memory for.
"""

from typing import Final

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.fleet import (
    FleetOrder,
    FleetOrderKind,
    HeldModel,
    OrderVerdict,
    UpstreamReport,
)
from persimmonhold.fleet._upstream_ledger import UpstreamLedger

_CAPACITY: Final = 2  # models
_DRAWN: Final = st.integers(min_value=0, max_value=1000)


class LateReports(RuleBasedStateMachine):
    """An upstream, its ledger, and messages between them that come late."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = UpstreamLedger('u1')
        self.born_ms = 1
        self.accepted = 0
        self.held: set[str] = set()
        self.loading = ''
        self.evicting = ''
        self.reports: list[UpstreamReport] = []
        self.delayed: list[FleetOrder] = []
        self.model_count = 0
        self.now = 0.0

    @rule()
    def report(self) -> None:
        """The upstream reports, and its report arrives."""
        self.reports.append(
            UpstreamReport(
                born_ms=self.born_ms,
                accepted_orders=self.accepted,
                is_busy=bool(self.loading or self.evicting),
                models=tuple(HeldModel(one, 1, ()) for one in self.held),
            )
        )
        self.ledger.apply_report(self.reports[-1])

    @precondition(lambda machine: machine.reports)
    @rule(drawn=_DRAWN)
    def repeat_report(self, drawn: int) -> None:
        """An earlier report arrives once more, of any process."""
        self.ledger.apply_report(self.reports[drawn % len(self.reports)])

    @precondition(lambda machine: machine.ledger.is_idle)
    @rule(is_lost=st.booleans(), is_eviction=st.booleans())
    def issue_order(self, is_lost: bool, is_eviction: bool) -> None:
        """An order is issued; it may get no response, and come later."""
        order = self._choose_order(is_eviction=is_eviction)
        if is_lost:
            self.delayed.append(order)
            verdict = OrderVerdict.unanswered
        else:
            verdict = self._take_order(order)
        self.ledger.record_order_outcome(order, verdict)
        if verdict is OrderVerdict.accepted:
            self.ledger.expect_completion(self.now + 1)

    @precondition(lambda machine: machine.delayed)
    @rule(drawn=_DRAWN)
    def deliver_delayed(self, drawn: int) -> None:
        """An order that got no response is carried out, perhaps again."""
        self._take_order(self.delayed[drawn % len(self.delayed)])

    @rule()
    def finish(self) -> None:
        """The upstream finishes the order in progress."""
        if self.loading:
            self.held.add(self.loading)
        self.held.discard(self.evicting)
        self.loading = ''
        self.evicting = ''

    @rule()
    def assume_done(self) -> None:
        """The ledger takes the order in progress for done."""
        self.now += 2
        self.ledger.complete_due_order(self.now)

    @rule()
    def restart(self) -> None:
        """A new process runs the upstream; it holds nothing."""
        self.born_ms += 1
        self.accepted = 0
        self.held = set()
        self.loading = ''
        self.evicting = ''

    @invariant()
    def fits_into_memory(self) -> None:
        """No order has made the upstream exceed its memory."""
        used = len(self.held) + bool(self.loading)
        assert_that(used <= _CAPACITY, Equals(True))

    def _choose_order(self, *, is_eviction: bool) -> FleetOrder:
        """Return the load of a new model if there is room, else an eviction."""
        kind = FleetOrderKind.load
        self.model_count += 1
        model = f'm{self.model_count}'
        known = len(self.ledger.models)
        if known >= _CAPACITY or (is_eviction and known):
            kind = FleetOrderKind.evict
            model = sorted(self.ledger.models)[0]
        return FleetOrder(
            kind=kind, model=model, expected=self.ledger.accepted_orders
        )

    def _take_order(self, order: FleetOrder) -> OrderVerdict:
        if self.loading or self.evicting or order.expected != self.accepted:
            return OrderVerdict.conflict
        if (order.kind is FleetOrderKind.load) == (order.model in self.held):
            return OrderVerdict.holds
        self.accepted += 1
        if order.kind is FleetOrderKind.load:
            self.loading = order.model
        else:
            self.evicting = order.model
        return OrderVerdict.accepted


@pytest.mark.parametrize(
    ('born_ms', 'accepted_orders'), [(2, 2), (1, 3), (1, 9)], ids=str
)
def test_earlier_report_does_not_replace_what_is_known(
    born_ms: int, accepted_orders: int
) -> None:
    """A guard: it counts fewer orders, or is that of an earlier process."""
    ledger = UpstreamLedger('u1')
    held = (HeldModel('m1', 1, ()), HeldModel('m2', 1, ()))
    ledger.apply_report(_make_report(2, 3, held))
    ledger.apply_report(_make_report(born_ms, accepted_orders, ()))
    assert_that(set(ledger.models), Equals({'m1', 'm2'}))
    assert_that(ledger.accepted_orders, Equals(3))


def _make_report(
    born_ms: int, accepted_orders: int, models: tuple[HeldModel, ...]
) -> UpstreamReport:
    return UpstreamReport(
        born_ms=born_ms,
        accepted_orders=accepted_orders,
        is_busy=False,
        models=models,
    )


LateReports.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None
)
TestLateReports = LateReports.TestCase
