"""What is kept by a name that callers choose is bounded in number and size."""

from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from persimmonhold.fleet import AdapterLoadRequest, UpstreamLedger
from persimmonhold.fleet._adapter_scheduler import AdapterScheduler
from persimmonhold.routes import RouteKind
from persimmonhold.streams import StreamOrigin, StreamRegistry, shorten_id
from tests.fleet_builders import ENGINE
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


def test_streams_with_long_ids_are_kept_by_short_ones() -> None:
    """Ids of 15,900 characters ended the leader and all entries."""
    registry = StreamRegistry()
    origin = StreamOrigin('models', 'v1')
    for number in range(_NAMES):
        registry.record(f'{_LONG}{number}', origin, 0)
    kept = [one.request_id for one in registry.list_begun_since(-1)]
    assert_that(kept, HasLength(_NAMES))
    assert_that(max(map(len, kept)), LessThan(129))
    # Callers name the whole id, entries the shortened one.
    last = f'{_LONG}{_NAMES - 1}'
    assert_that(registry.find_origin(last, 0), Equals(origin))
    assert_that(registry.find_origin(shorten_id(last), 0), Equals(origin))


def test_adapters_that_do_not_exist_are_forgotten() -> None:
    """The times of their use were kept for good."""
    scheduler = AdapterScheduler()
    ledger = UpstreamLedger('u1')
    for number in range(1000):
        request = AdapterLoadRequest(
            request_id=number,
            service='models',
            upstream='u1',
            model='m',
            adapter=f'a{number}',
        )
        scheduler.request_adapter('vm1', request, ledger, 0)
    scheduler.pending.clear()
    scheduler.next_order(ledger, ENGINE, (), 0)
    assert_that(len(scheduler.last_used_at), LessThan(129))
