"""The log of attempts that ended because their caller left or time was over."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, TypeAlias

import eliot
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from persimmonhold.explanation import RequestExplanation
from persimmonhold.explanation._log_line import LogLine
from persimmonhold.routes import RouteKind
from persimmonhold.web import Exchange, encode_headers
from tests.forwarding_harness import ForwardingHarness, ScriptedUpstream

_Lines: TypeAlias = list[dict[str, Any]]
_WAIT_S = 0.1


@pytest.fixture
def lines() -> Iterator[_Lines]:
    """Return the log lines that a test causes."""
    logged: _Lines = []
    # Without a destination, eliot keeps messages for the first one.
    eliot.add_destinations(logged.append)
    logged.clear()
    yield logged
    eliot.remove_destination(logged.append)


def _run(scenario: Callable[[ForwardingHarness], Awaitable[None]]) -> None:
    async def run_scenario() -> None:
        async with ForwardingHarness() as harness:
            await scenario(harness)

    asyncio.run(run_scenario())


async def _hang(exchange: Exchange) -> None:
    await asyncio.Event().wait()


async def _begin_stream(exchange: Exchange) -> None:
    own = {
        'attempt-id': exchange.head.header('attempt-id'),
        'server-signature': 's1',
        'content-type': 'text/event-stream',
    }
    await exchange.start_response(200, encode_headers(own))
    await exchange.send_body_chunk(b'id: 1\ndata: x\n\n')
    await asyncio.Event().wait()


async def _leave(harness: ForwardingHarness) -> None:
    """Send a request as a caller that leaves."""
    call = asyncio.create_task(harness.send_request())
    await asyncio.sleep(_WAIT_S)
    call.cancel()
    await asyncio.sleep(_WAIT_S)


def _find(lines: _Lines, event: str) -> dict[str, Any]:
    return next(one for one in lines if one['message_type'] == event)


@pytest.mark.parametrize(
    ('script', 'progress'),
    [(_hang, 'request sent'), (_begin_stream, 'response begun')],
)
def test_attempt_whose_caller_left_is_logged_as_maybe_run(
    lines: _Lines,
    script: Callable[[Exchange], Awaitable[None]],
    progress: str,
) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.stream)
        await harness.start_upstream(script)
        await _leave(harness)

    _run(scenario)
    attempt = _find(lines, 'attempt')
    assert_that(attempt['end'], Equals('cancelled'))
    assert_that(attempt['detail'], Equals(progress))
    assert_that(attempt['may_have_run'], Equals(True))
    assert_that(_find(lines, 'request')['runs'], Equals(1))


def test_attempt_at_the_end_of_its_time_is_logged_as_the_caller_was_told(
    lines: _Lines,
) -> None:
    statuses = []

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.non_idempotent, timeout_ms=100)
        await harness.start_upstream(_hang)
        answer = (await harness.send_request()).unwrap()
        statuses.append(answer.head.status)

    _run(scenario)
    assert_that(statuses, Equals([504]))
    assert_that(_find(lines, 'attempt')['may_have_run'], Equals(True))
    assert_that(_find(lines, 'request')['runs'], Equals(1))


def test_request_that_was_not_written_is_refused_as_not_run(
    lines: _Lines,
) -> None:
    statuses = []

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.non_idempotent, timeout_ms=100)
        # Connections beyond the backlog are not answered.
        with (
            socket.create_server(('127.0.0.1', 0), backlog=0) as full,
            socket.create_connection(full.getsockname()),
        ):
            host, port = full.getsockname()
            upstream = ScriptedUpstream('u0', _hang)
            upstream.address = f'{host}:{port}'
            harness.upstreams.append(upstream)
            harness.set_facts()
            answer = (await harness.send_request()).unwrap()
        statuses.append(answer.head.status)

    _run(scenario)
    assert_that(statuses, Equals([503]))
    assert_that(_find(lines, 'attempt')['detail'], Equals('connecting'))
    assert_that(_find(lines, 'request')['runs'], Equals(0))


def test_request_whose_caller_left_is_logged_as_abandoned(
    lines: _Lines,
) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_upstream(_hang)
        await _leave(harness)

    _run(scenario)
    logged = _find(lines, 'request')
    assert_that(logged['outcome'], Equals('abandoned'))
    assert_that(logged['closed_by'], Equals('peer'))


@pytest.mark.parametrize('script', [_hang, _begin_stream])
@pytest.mark.parametrize('cause', ['process_end', 'eviction'])
def test_request_that_the_entry_cuts_is_logged_as_cut(
    lines: _Lines,
    script: Callable[[Exchange], Awaitable[None]],
    cause: str,
) -> None:
    """A cut request must not be taken for one whose caller left."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.stream)
        await harness.start_upstream(script)
        call = asyncio.create_task(harness.send_request())
        await asyncio.sleep(_WAIT_S)
        if cause == 'eviction':
            connection = next(iter(harness.server._connections))
            connection.buffers.close_at_once()
        else:
            await harness.server.__aexit__(None, None, None)
        await call
        await asyncio.sleep(_WAIT_S)

    _run(scenario)
    logged = _find(lines, 'request')
    assert_that(logged['outcome'], Equals('cut'))
    assert_that(logged['closed_by'], Equals(cause))


def test_explanation_names_the_cancelled_attempt(lines: _Lines) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.stream)
        await harness.start_upstream(_hang)
        await _leave(harness)

    _run(scenario)
    logged = [
        LogLine(one['timestamp'], 'vm1', one['message_type'], one)
        for one in lines
    ]
    cause = RequestExplanation('r1', logged).cause
    assert_that(cause, Contains('cancelled request sent'))
    assert_that(cause, Not(Contains('never sent')))
