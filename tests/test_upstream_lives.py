"""What is known of an upstream ends with the process of which it was said.

Guards against upstreams that start again under their names and are never used
again (review/8 and review/9).
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from persimmonhold.fleet import (
    EntryReport,
    FleetController,
    HeldModel,
    ModelDemand,
    UpstreamReport,
)
from tests.fleet_builders import make_document, make_listed

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
