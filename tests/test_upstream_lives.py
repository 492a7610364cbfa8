"""What is known of an upstream ends with the process of which it was said.

Guards against upstreams that start again under their names and are never used
again (review/8 and review/9).
"""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from persimmonhold.fleet import (
    EntryReport,
    FleetController,
    FleetOrder,
    FleetOrderKind,
    ForwardDispatcher,
    HeldModel,
    ModelDemand,
    OrderVerdict,
    UpstreamReport,
)
from tests.fleet_builders import (
    make_dispatcher,
    make_document,
    make_facts,
    make_listed,
    make_update,
)

_LISTED_BORN = pytest.mark.parametrize(
    'is_born_listed', [True, False], ids=['born listed', 'born reported']
)


def _controller() -> FleetController:
    controller = FleetController(1, 0.0)
    controller.activate(0.0)
    controller.apply_routes(make_document())
    return controller


def _report(
    born_ms: int, *models: str, is_leaving: bool = False, orders: int = 0
) -> UpstreamReport:
    return UpstreamReport(
        born_ms=born_ms,
        accepted_orders=orders,
        is_busy=False,
        models=tuple(HeldModel(name) for name in models),
        is_leaving=is_leaving,
    )


def _show(
    controller: FleetController,
    now: float,
    born_ms: int,
    *,
    is_born_listed: bool = True,
    is_leaving: bool = False,
) -> None:
    """Have the list show the process that runs."""
    listed = make_listed(
        'u1',
        born_ms=born_ms if is_born_listed else 0,
        leaving=is_leaving,
    )
    controller.apply_list((listed,), now)


@_LISTED_BORN
@pytest.mark.parametrize('is_leave_listed', [True, False])
def test_engine_that_reported_to_leave_is_used_once_it_has_restarted(
    is_born_listed: bool, is_leave_listed: bool
) -> None:
    """The controller kept the leave by name, for as long as it led."""
    controller = _controller()
    _show(controller, 0, 1, is_born_listed=is_born_listed)
    controller.apply_report('u1', _report(1, 'm1', orders=5), 0.2)
    controller.apply_report('u1', _report(1, 'm1', is_leaving=True), 1.0)
    _show(
        controller,
        1.5,
        1,
        is_born_listed=is_born_listed,
        is_leaving=is_leave_listed,
    )
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Equals(True))
    _show(controller, 5.0, 2, is_born_listed=is_born_listed)
    controller.apply_report('u1', _report(2), 5.2)
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Equals(False))
    assert_that(_count_planned(controller), GreaterThan(0))


def _count_planned(controller: FleetController) -> int:
    """Return how many orders are planned for requests that wait."""
    demand = ModelDemand('models', 'm1', arrived=3, tokens=600, waiting=3)
    report = EntryReport(term=1, number=0, sequence=1, demand=(demand,))
    controller.demand.record_report('e1', report, 5.3)
    steps = [5.4 + step / 10 for step in range(15)]
    return sum(len(controller.plan_orders(now)) for now in steps)


def test_engine_that_reported_to_leave_does_so_while_it_lives() -> None:
    """A list that lags, or a report read late, shows it as ready."""
    controller = _controller()
    _show(controller, 0, 1)
    controller.apply_report('u1', _report(1, 'm1', is_leaving=True), 1.0)
    for step in range(20):
        _show(controller, 2.0 + step, 1)
        controller.apply_report('u1', _report(1, 'm1'), 2.1 + step)
        facts = controller.facts.by_upstream['u1']
        assert_that(facts.is_leaving, Equals(True))


def test_late_report_of_the_former_process_says_nothing_of_the_new_one() -> (
    None
):
    controller = _controller()
    _show(controller, 0, 2)
    controller.apply_report('u1', _report(2, 'm1'), 0.2)
    controller.apply_report('u1', _report(1, 'm1', is_leaving=True), 0.1)
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Equals(False))


def _show_plain(
    controller: FleetController, now: float, *, is_leaving: bool = False
) -> None:
    """Have the list show an upstream whose start nobody states."""
    listed = make_listed('u1', leaving=is_leaving, born_ms=0)
    controller.apply_list((listed,), now)


@pytest.mark.parametrize('ages_s', [(0.1,), ()], ids=['this build', 'earlier'])
def test_process_of_unknown_start_leaves_until_a_later_list_shows_it_ready(
    ages_s: tuple[float, ...],
) -> None:
    """The controller kept the leave until the list had no upstream of the name.

    Earlier builds do not tell when the process stated it, and repeat it.
    """
    controller = _controller()
    facts = controller.facts

    def state_leaving(now: float) -> None:
        ages = tuple(age + now - 1.0 for age in ages_s)
        facts.record_stated_leaving((('u1', 0),), ages, now)

    _show_plain(controller, 0)
    state_leaving(1.0)
    assert_that(facts.by_upstream['u1'].is_leaving, Equals(True))
    _show_plain(controller, 1.2)  # the list lags
    assert_that(facts.by_upstream['u1'].is_leaving, Equals(True))
    for step in range(5):
        _show_plain(controller, 2.0 + step, is_leaving=True)
        assert_that(facts.by_upstream['u1'].is_leaving, Equals(True))
    _show_plain(controller, 7.0)
    assert_that(facts.by_upstream['u1'].is_leaving, Equals(False))
    state_leaving(7.5)
    assert_that(facts.by_upstream['u1'].is_leaving, Equals(False))


def test_engine_of_unknown_start_leaves_until_it_reports_otherwise() -> None:
    controller = _controller()
    _show_plain(controller, 0)
    for step in range(40):
        controller.apply_report(
            'u1', _report(0, 'm1', is_leaving=True), step / 4
        )
        _show_plain(controller, step / 4)
        facts = controller.facts.by_upstream['u1']
        assert_that(facts.is_leaving, Equals(True))
    for step in range(20):
        controller.apply_report('u1', _report(0), 10 + step / 4)
        _show_plain(controller, 10 + step / 4)
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Equals(False))


def _restart_in_list(
    dispatcher: ForwardDispatcher, *, is_by_own_list: bool
) -> None:
    """Have a process of unknown start drain for 3 s and start again."""
    for step in range(100):
        now = 1.0 + step / 10
        is_leaving = step in range(9, 45)
        if is_by_own_list:
            listed = make_listed('u1', leaving=is_leaving, born_ms=0)
            dispatcher.apply_list((listed,), now, now)
            continue
        facts = msgspec.structs.replace(
            make_facts('u1'), born_ms=0, is_leaving=is_leaving
        )
        dispatcher.apply_update(make_update(facts, sequence=step + 2), now)


@pytest.mark.parametrize('is_by_own_list', [True, False])
@pytest.mark.parametrize('has_stated', [True, False])
def test_entry_uses_a_process_of_unknown_start_that_has_restarted(
    has_stated: bool, is_by_own_list: bool
) -> None:
    """It was spared until its name had been absent from lists for 120 s."""
    unknown = msgspec.structs.replace(make_facts('u1'), born_ms=0)
    dispatcher = make_dispatcher(unknown)
    chooser = dispatcher.chooser
    if has_stated:
        chooser.spared.record_leaving(('u1', 0), 1.0)
    _restart_in_list(dispatcher, is_by_own_list=is_by_own_list)
    assert_that(chooser.trackers['u1'].is_available(11.0), Equals(True))


def test_held_up_update_does_not_end_a_leave() -> None:
    """It seems newer than it is, until the next one arrives."""
    unknown = msgspec.structs.replace(make_facts('u1'), born_ms=0)
    dispatcher = make_dispatcher(unknown)
    spared = dispatcher.chooser.spared
    spared.record_leaving(('u1', 0), 1.0)
    dispatcher.apply_update(make_update(unknown, sequence=2), 9.0)
    leaving = msgspec.structs.replace(unknown, is_leaving=True)
    dispatcher.apply_update(make_update(leaving, sequence=3), 9.01)
    dispatcher.apply_update(make_update(leaving, sequence=4), 11.0)
    assert_that(spared.is_spared('u1', 11.0), Equals(True))


def test_earlier_build_reads_when_processes_stated_to_leave() -> None:
    report = EntryReport(
        term=1,
        number=2,
        sequence=3,
        leaving=(('u1', 0),),
        leaving_ages_s=(0.5,),
    )
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    # The tag comes before the fields; that build ends before the new one.
    end = 1 + EntryReport.__struct_fields__.index('leaving_ages_s')
    earlier = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields[:end]), type=EntryReport
    )
    assert_that(earlier.leaving, Equals(report.leaving))
    assert_that(earlier.leaving_ages_s, Equals(()))


def _refuse_order(controller: FleetController, now: float) -> None:
    """Have another process answer an order, which it does not accept."""
    order = FleetOrder(kind=FleetOrderKind.load, model='m1', expected=0)
    controller.record_order_outcome(
        'u1', order, OrderVerdict.other_process, now
    )
    controller.facts.refresh_all(controller.ledgers)
    assert_that(controller.facts.by_upstream['u1'].is_silent, Equals(True))


@pytest.mark.parametrize('address', ['127.0.0.1:1', '127.0.0.1:2'])
def test_engine_whose_address_was_reused_gets_orders_once_it_is_back(
    address: str,
) -> None:
    """Another process that answers in its place was remembered by its name."""
    controller = _controller()
    _show(controller, 0, 1)
    controller.apply_report('u1', _report(1, 'm1'), 0.2)
    _refuse_order(controller, 1.0)
    listed = msgspec.structs.replace(
        make_listed('u1', born_ms=2), address=address
    )
    controller.apply_list((listed,), 4.0)
    controller.apply_report('u1', _report(2), 5.2)
    assert_that(controller.facts.by_upstream['u1'].is_silent, Equals(False))
    assert_that(_count_planned(controller), GreaterThan(0))


def test_engine_whose_address_was_reused_gets_no_orders_there() -> None:
    controller = _controller()
    _show(controller, 0, 1)
    controller.apply_report('u1', _report(1, 'm1'), 0.2)
    _refuse_order(controller, 1.0)
    _show(controller, 4.0, 1)
    controller.apply_report('u1', _report(1), 5.2)
    assert_that(_count_planned(controller), Equals(0))
