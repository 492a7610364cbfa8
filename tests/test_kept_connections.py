"""Connections to upstreams: kept as long as they are sound and wanted."""

import math
from typing import Final
from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import RouteKind
from persimmonhold.transport._liveness_monitor import (
    LivenessMonitor,
    ProbePace,
)
from persimmonhold.upstreams import find_idle_limit_s, share_idle_connections
from persimmonhold.web import (
    Address,
    ClientConnection,
    ResponseHead,
    encode_headers,
)
from tests.forwarding_harness import (
    ROUTE_KINDS,
    ForwardingHarness,
    run_with_harness,
)
from tests.raw_upstream import EVENT_STREAM, PLAIN, RawConnection

_LONGEST_S: Final = 15
_MARGIN_S: Final = 0.4  # less than the code's, for rounding
_EVENTS: Final = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'


@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_requests_in_turn_share_one_connection(
    kind: RouteKind, resumable: bool
) -> None:
    """On 6ea0505 only idempotent requests did; the others took one each."""
    numbers: list[int] = []

    async def serve(connection: RawConnection) -> None:
        numbers.append(connection.number)
        content_type = EVENT_STREAM if kind is RouteKind.stream else PLAIN
        await connection.respond(content_type, 'chunks', _EVENTS)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=resumable)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        for _ in range(5):
            answer = (await harness.send_request()).unwrap()
            assert_that(answer.body, Equals(_EVENTS))

    run_with_harness(scenario)
    assert_that(set(numbers), Equals({1}))


def test_refusal_leaves_its_connection_open() -> None:
    """On 6ea0505 each refusal closed the connection that it came on."""
    numbers: list[int] = []

    async def serve(connection: RawConnection) -> None:
        numbers.append(connection.number)
        await connection.refuse()

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.non_idempotent)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        for _ in range(4):
            answer = (await harness.send_request()).unwrap()
            assert_that(answer.head.status, Equals(503))

    run_with_harness(scenario)
    assert_that(set(numbers), Equals({1}))


@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_connection_that_the_upstream_drops_as_a_request_comes(
    kind: RouteKind, resumable: bool
) -> None:
    """A request that may run once is not sent again, another one is."""
    arrivals: dict[str, int] = {}

    async def serve(connection: RawConnection) -> None:
        request_id = connection.headers[REQUEST_ID]
        arrivals[request_id] = arrivals.get(request_id, 0) + 1
        if len(arrivals) == 2 and arrivals[request_id] == 1:
            connection.reset()
            connection.writer.close()
            return
        await connection.respond(PLAIN, 'length', b'{}')

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=resumable)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        await harness.send_request()
        answer = (await harness.send_request()).unwrap()
        is_repeatable = kind is RouteKind.idempotent or resumable
        expected = 200 if is_repeatable else 502
        assert_that(answer.head.status, Equals(expected))
        assert_that(arrivals['r2'], Equals(2 if is_repeatable else 1))

    run_with_harness(scenario)


@pytest.mark.parametrize(
    'broken',
    [
        b'HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n',
        b'no response\r\n\r\n',
        b'HTTP/1.1 200 O',
        b'HTTP/1.1 100 Continue\r\n\r\n',
    ],
)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_request_with_a_broken_response_is_not_sent_again(
    kind: RouteKind, resumable: bool, broken: bytes
) -> None:
    """Only a connection that is closed without a byte is replaced by another.

    The upstream has run the request, so another try is a retry.
    """
    arrivals: list[str] = []

    async def serve(connection: RawConnection) -> None:
        arrivals.append(connection.headers[REQUEST_ID])
        if len(arrivals) == 1:
            await connection.respond(PLAIN, 'length', b'{}')
        else:
            await connection.write(broken)
            connection.writer.close()

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=resumable)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        await harness.send_request()
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(502))

    run_with_harness(scenario)
    assert_that(arrivals, Equals(['r1', 'r2']))


@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_connection_that_was_closed_unwritten_proves_nothing(
    kind: RouteKind, resumable: bool
) -> None:
    """A refusal on the next connection is still a promise."""

    async def serve(connection: RawConnection) -> None:
        if connection.number == 1:
            await connection.respond(PLAIN, 'length', b'{}')
        else:
            await connection.refuse()

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=resumable)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        await harness.send_request()
        pool = harness.services.pool
        acquire = pool.acquire

        def acquire_closed(
            peer: Address, now: float, *, is_repeatable: bool, request_id: str
        ) -> ClientConnection | None:
            kept = acquire(
                peer, now, is_repeatable=is_repeatable, request_id=request_id
            )
            if kept is not None:
                kept.mark_failed('closed by the peer')
            return kept

        with patch.object(type(pool), 'acquire', side_effect=acquire_closed):
            answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(503))

    run_with_harness(scenario)


def test_stated_time_is_kept() -> None:
    """A connection that the upstream is about to close is not used."""
    numbers: list[int] = []

    async def serve(connection: RawConnection) -> None:
        numbers.append(connection.number)
        fields = f'{REQUEST_ID}: {connection.headers[REQUEST_ID]}'
        await connection.write(
            f'HTTP/1.1 500 No\r\n{fields}\r\nkeep-alive: timeout=0\r\n'
            'content-length: 0\r\n\r\n'.encode('ascii')
        )

    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(serve, keeps_connections=True)
        for _ in range(3):
            await harness.send_request()

    run_with_harness(scenario)
    assert_that(numbers, Equals([1, 2, 3]))


@given(
    stated_s=st.none() | st.floats(0, 600),
    is_repeatable=st.booleans(),
)
def test_idle_limit_ends_before_the_upstream_closes(
    stated_s: float | None, is_repeatable: bool
) -> None:
    limit_s = find_idle_limit_s(stated_s, is_repeatable=is_repeatable)
    assert_that(limit_s <= _LONGEST_S, Is(True))
    if stated_s is not None:
        assert_that(limit_s + _MARGIN_S <= stated_s, Is(True))
    if not is_repeatable:
        longer_s = find_idle_limit_s(stated_s, is_repeatable=True)
        assert_that(limit_s <= longer_s, Is(True))


@given(accepted=st.integers(1, 5000), entries=st.integers(0, 1000))
def test_entries_together_keep_at_most_half_of_the_connections(
    accepted: int, entries: int
) -> None:
    share = share_idle_connections(accepted, entries)
    assert_that(share >= 1, Is(True))
    if share > 1:
        assert_that(2 * share * entries <= accepted, Is(True))


@pytest.mark.parametrize(
    ('header', 'expected'),
    [
        ('timeout=5', 5.0),
        ('timeout=7, max=100', 7.0),
        ('max=3,Timeout = 2', 2.0),
        ('timeout=x', None),
        ('', None),
    ],
)
def test_stated_time_is_read(header: str, expected: float | None) -> None:
    head = ResponseHead(
        status=200, headers=encode_headers({'keep-alive': header})
    )
    assert_that(head.keep_alive_s, Equals(expected))


@pytest.mark.parametrize('count', [9, 69, 200, 540])
def test_probes_of_idle_connections_are_bounded_for_the_vm(count: int) -> None:
    """Each heartbeat took four probes on 6ea0505; at 65 VMs, 70 a second.

    Each connection carries a heartbeat in 20 s, as between random VMs.
    """
    pace = ProbePace.for_connections(count)
    monitors = [LivenessMonitor(0.0) for _ in range(count)]
    probes = 0
    for tick in range(150):
        now = tick * 0.4
        for number, monitor in enumerate(monitors):
            if tick % 50 == number % 50:
                monitor.record_message()
            if monitor.start_probe_if_due(now, pace):
                probes += 1
                monitor.record_reply()
    assert_that(probes / 60 <= max(8, count / 20), Is(True), f'{probes}')


@pytest.mark.parametrize('count', [9, 200, 540])
def test_connection_in_use_is_found_silent_at_any_size(count: int) -> None:
    pace = ProbePace.for_connections(count)
    monitor = LivenessMonitor(0.0)
    for tick in range(100):
        now = tick * 0.1
        if tick % 4 == 0:
            monitor.record_message()
        monitor.start_probe_if_due(now, pace)
        if monitor.is_silent(now):
            break
    assert_that(math.ceil(now) <= 4, Is(True), f'{now}')
