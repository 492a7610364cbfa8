"""What is kept by a name that callers choose is bounded in number and size."""

from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from persimmonhold.routes import RouteKind
from tests.forwarding_harness import ForwardingHarness, run_with_harness
from tests.raw_upstream import RawConnection

_LONG: Final = 'x' * 15_900
_NAMES: Final = 40


async def _respond(connection: RawConnection) -> None:
    await connection.respond('text/plain', 'length', b'answer')


@pytest.mark.parametrize('name', ['m', _LONG], ids=['short', 'long'])
def test_models_named_at_a_plain_service_leave_nothing_behind(
    name: str,
) -> None:
    """Each one left a queue and a demand, at the entry and at the leader."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.idempotent)
        await harness.start_raw_upstream(_respond)
        for number in range(_NAMES):
            answer = await harness.send_request(
                headers={'model': f'{name}{number}/a{number}'}
            )
            assert_that(answer.unwrap().head.status, Equals(200))
        hub = harness.hub
        report = hub.demand_meter.build_report(hub.dispatcher, hub.clock())
        assert_that(hub.dispatcher.queues, HasLength(1))
        assert_that(report.demand, HasLength(1))
        assert_that(report.demand[0].arrived, Equals(_NAMES))

    run_with_harness(scenario)
