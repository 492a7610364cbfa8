"""A stream goes on only at the software version that began it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final

import pytest
from returns.result import Failure as Failed
from returns.result import Result
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.failures import Failure
from persimmonhold.routes import RouteKind
from persimmonhold.streams import STREAM_LIFE_S
from persimmonhold.web import FetchedResponse
from tests.forwarding_harness import ForwardingHarness
from tests.raw_upstream import EVENT_STREAM, RawConnection

_BEGUN_ID: Final = 'r1'  # of the first request of a harness
_FIRST: Final = b'id: 1\ndata: a\n\n'
_LAST: Final = b'id: 2\ndata: b\n\n'


def _run(
    scenario: Callable[[ForwardingHarness], Awaitable[None]],
    clock: Callable[[], float] = time.monotonic,
) -> None:
    async def run_scenario() -> None:
        async with ForwardingHarness(clock=clock) as harness:
            harness.set_route(RouteKind.stream, attempts=3, resumable=True)
            async with asyncio.timeout(8):
                await scenario(harness)

    asyncio.run(run_scenario())


async def _break_off(connection: RawConnection) -> None:
    """Write the first event, and end the connection."""
    await connection.write_head(EVENT_STREAM, 'length', 100)
    await connection.write(_FIRST)


async def _serve(connection: RawConnection) -> None:
    """Write all events, or those after the one that the request names."""
    events = _LAST
    if connection.headers.get('last-event-id') != '1':
        events = _FIRST + _LAST
    await connection.respond(EVENT_STREAM, 'length', events)


async def _send_until_it_arrives(
    harness: ForwardingHarness,
) -> asyncio.Task[Result[FetchedResponse, Failure]]:
    """Send a request, and wait until the first upstream has it."""
    upstream = harness.raw_upstreams[0]
    has_arrived = asyncio.Event()
    script = upstream.script

    async def run_script(connection: RawConnection) -> None:
        has_arrived.set()
        await script(connection)

    upstream.script = run_script
    sent = asyncio.create_task(harness.send_request())
    await has_arrived.wait()
    return sent


async def _start_old_upstream(harness: ForwardingHarness) -> None:
    """Have a stream begin at version v1 and break off; more follow."""
    harness.set_route(RouteKind.stream, attempts=1, resumable=True)
    await harness.start_raw_upstream(_break_off)
    await harness.send_request()
    harness.set_route(RouteKind.stream, attempts=3, resumable=True)


async def _take_up(
    harness: ForwardingHarness, begun_as: str = _BEGUN_ID
) -> int:
    """Take a stream up after its first event; return the status."""
    headers = {'last-event-id': '1'}
    if begun_as:
        headers['resumes'] = begun_as
    response = await harness.send_request(headers=headers, deadline_ms=1500)
    return response.unwrap().head.status


def _end_old_upstream(harness: ForwardingHarness) -> None:
    harness.raw_servers[0].close()
    harness.raw_upstreams.pop(0)
    harness.set_facts()


def test_broken_stream_is_not_resumed_at_another_version() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(_break_off)
        sent = await _send_until_it_arrives(harness)
        harness.versions['r1'] = 'v2'
        other = await harness.start_raw_upstream(_serve)
        assert isinstance(await sent, Failed)
        assert_that(other.requests, Equals([]))

    _run(scenario)


def test_broken_stream_is_resumed_at_its_own_version() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(_break_off)
        sent = await _send_until_it_arrives(harness)
        harness.versions['r1'] = 'v2'
        other = await harness.start_raw_upstream(_serve)
        same = await harness.start_raw_upstream(_serve)
        response = (await sent).unwrap()
        assert_that(response.body, Equals(_FIRST + _LAST))
        assert_that(other.requests, Equals([]))
        assert_that(len(same.requests), Equals(1))

    _run(scenario)


@pytest.mark.parametrize('begun_as', [_BEGUN_ID, '', 'forged'])
def test_stream_is_not_taken_up_at_another_version(begun_as: str) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        await _start_old_upstream(harness)
        harness.versions['r1'] = 'v2'
        other = await harness.start_raw_upstream(_serve)
        _end_old_upstream(harness)
        assert_that(await _take_up(harness, begun_as), Equals(503))
        assert_that(other.requests, Equals([]))

    _run(scenario)


def test_stream_is_taken_up_at_its_own_version_beside_others() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        await _start_old_upstream(harness)
        harness.versions.update({'r1': 'v2', 'r2': 'v3'})
        others = [await harness.start_raw_upstream(_serve) for _ in range(2)]
        same = await harness.start_raw_upstream(_serve)
        harness.leaving.add('r0')
        harness.set_facts()
        for _ in range(4):
            assert_that(await _take_up(harness), Equals(200))
        assert_that(len(same.requests), Equals(4))
        assert_that([one.requests for one in others], Equals([[], []]))

    _run(scenario)


async def _observe(
    harness: ForwardingHarness, shift_s: list[float], duration_s: float
) -> None:
    """Have the entry get facts about its upstreams for that long."""
    ends_at = shift_s[0] + duration_s
    while shift_s[0] < ends_at:
        shift_s[0] += 1
        harness.set_facts()


def test_stream_of_an_unknown_origin_goes_on_where_one_version_serves() -> None:
    shift_s = [0.0]

    async def scenario(harness: ForwardingHarness) -> None:
        same = await harness.start_raw_upstream(_serve)
        harness.set_list()
        assert_that(await _take_up(harness, 'forgotten'), Equals(503))
        await _observe(harness, shift_s, STREAM_LIFE_S)
        for begun_as in ('', 'forgotten'):
            shift_s[0] += 1  # between two reads of the list
            assert_that(await _take_up(harness, begun_as), Equals(200))
        assert_that(len(same.requests), Equals(2))

    _run(scenario, lambda: time.monotonic() + shift_s[0])


# An entry that had stood still took the version it knew for the only one.
@pytest.mark.parametrize('gap_s', [5, 12])
def test_entry_that_stood_still_guesses_no_version(gap_s: float) -> None:
    shift_s = [0.0]

    async def scenario(harness: ForwardingHarness) -> None:
        same = await harness.start_raw_upstream(_serve)
        harness.set_list()
        await _observe(harness, shift_s, STREAM_LIFE_S)
        shift_s[0] += gap_s
        assert_that(await _take_up(harness, 'elsewhere'), Equals(503))
        await _observe(harness, shift_s, STREAM_LIFE_S / 2)
        assert_that(await _take_up(harness, 'elsewhere'), Equals(503))
        assert_that(same.requests, Equals([]))

    _run(scenario, lambda: time.monotonic() + shift_s[0])


# An entry cut off from control and the platform did so, too.
def test_entry_that_cannot_read_the_list_guesses_no_version() -> None:
    shift_s = [0.0]

    async def scenario(harness: ForwardingHarness) -> None:
        same = await harness.start_raw_upstream(_serve)
        await _observe(harness, shift_s, STREAM_LIFE_S)
        assert_that(await _take_up(harness, 'elsewhere'), Equals(503))
        assert_that(same.requests, Equals([]))

    _run(scenario, lambda: time.monotonic() + shift_s[0])


def test_entry_cut_off_from_control_sees_a_new_version_in_the_list() -> None:
    shift_s = [0.0]

    async def scenario(harness: ForwardingHarness) -> None:
        same = await harness.start_raw_upstream(_serve)
        await _observe(harness, shift_s, STREAM_LIFE_S)
        harness.versions['r1'] = 'v2'
        await harness.start_raw_upstream(_serve)
        harness.set_list()
        harness.raw_upstreams.pop()
        harness.set_facts()
        assert_that(await _take_up(harness, 'elsewhere'), Equals(503))
        assert_that(same.requests, Equals([]))

    _run(scenario, lambda: time.monotonic() + shift_s[0])


def test_streams_taken_up_together_share_a_read_of_the_list() -> None:
    shift_s = [0.0]

    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(_serve)
        harness.set_list()
        await _observe(harness, shift_s, STREAM_LIFE_S)
        statuses = await asyncio.gather(
            *(_take_up(harness, f'elsewhere{one}') for one in range(6))
        )
        assert_that(statuses, Equals([200, 200, 200, 200, 200, 200]))
        assert_that(harness.platform.read_count, Equals(1))

    _run(scenario, lambda: time.monotonic() + shift_s[0])


def test_stream_of_an_unknown_version_goes_on_at_no_other_process() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.versions.update({'r0': '', 'r1': '', 'r2': 'v1'})
        harness.leaving.add('r2')
        await harness.start_raw_upstream(_break_off)
        others = [await harness.start_raw_upstream(_serve) for _ in range(2)]
        harness.leaving.add('r1')
        harness.set_facts()
        harness.set_route(RouteKind.stream, attempts=1, resumable=True)
        await harness.send_request()
        harness.leaving.clear()
        _end_old_upstream(harness)
        assert_that(await _take_up(harness), Equals(503))
        assert_that([one.requests for one in others], Equals([[], []]))

    _run(scenario)


def test_process_that_returns_with_another_version_takes_up_no_stream() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        await _start_old_upstream(harness)
        harness.versions['r0'] = 'v2'
        harness.births['r0'] = 7
        harness.set_facts()
        assert_that(await _take_up(harness), Equals(503))
        assert_that(len(harness.raw_upstreams[0].requests), Equals(1))

    _run(scenario)


def test_stream_whose_first_event_came_from_the_second_upstream_is_its() -> (
    None
):
    async def scenario(harness: ForwardingHarness) -> None:
        async def end_before_an_event(connection: RawConnection) -> None:
            await connection.write_head(EVENT_STREAM, 'length', 100)

        await harness.start_raw_upstream(end_before_an_event)
        sent = await _send_until_it_arrives(harness)
        harness.versions['r1'] = 'v2'
        served: list[str] = []

        async def break_off_once(connection: RawConnection) -> None:
            served.append(connection.headers['attempt-id'])
            await (_break_off if len(served) == 1 else _serve)(connection)

        await harness.start_raw_upstream(break_off_once)
        await sent
        _end_old_upstream(harness)
        assert_that(await _take_up(harness), Equals(200))

    _run(scenario)
