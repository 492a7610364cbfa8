"""A refusal that arrives twice, while its request is under way again.

The copy names the request, as the refusal did, so the name alone does not tell
whether it is the response to the retry.
"""

import asyncio
from functools import partial
from typing import Final

import pytest
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import RouteKind
from persimmonhold.web import (
    ClientConnection,
    ClientRequest,
    FetchedResponse,
    encode_headers,
    fetch_on_connection,
    parse_address,
)
from tests.forwarding_harness import (
    ROUTE_KINDS,
    ForwardingHarness,
    run_with_harness,
)
from tests.raw_upstream import PLAIN, RawConnection

_BODY: Final = b'{"whole":true}'
_STATUSES: Final = (408, 421, 429, 503)
_RESENT_ID: Final = 'resent'
# After which time the copy follows the retry, and how the refusal is framed.
_COPIES: Final = (
    pytest.param(0, 'length', id='at_once'),
    pytest.param(0.001, 'chunks', id='1ms-chunks'),
    pytest.param(0.05, 'length', id='50ms'),
)


class CopyingUpstream:
    """Refuses requests, and writes each refusal twice on its connection.

    The copies come `delay_s` after the next request on that connection. Requests
    are refused while `is_full`, and run later on. `runs` counts them by id.
    """

    def __init__(
        self, status: int, delay_s: float, framing: str, copies: int = 1
    ) -> None:
        self.status = status
        self.delay_s = delay_s
        self.framing = framing
        self.copies = copies
        self.is_full = True
        self.runs: dict[str, int] = {}
        self.refused_on: dict[int, str] = {}

    async def serve(self, connection: RawConnection) -> None:
        """Refuse or run a request, after the copies that are due."""
        copied = self.refused_on.pop(connection.number, None)
        request_id = connection.headers[REQUEST_ID]
        if self.is_full:
            self.refused_on[connection.number] = request_id
            await connection.refuse(self.status, framing=self.framing)
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if copied is not None:
            await asyncio.sleep(self.delay_s)
            for _ in range(self.copies):
                await connection.refuse(self.status, copied, self.framing)
        await connection.respond(PLAIN, 'length', _BODY)


async def _send_resent(harness: ForwardingHarness) -> FetchedResponse:
    headers = {'attempt-id': _RESENT_ID}
    return (await harness.send_request(headers=headers)).unwrap()


@pytest.mark.parametrize(('delay_s', 'framing'), _COPIES)
@pytest.mark.parametrize('status', _STATUSES)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_copy_of_a_refusal_does_not_answer_a_request_sent_again_under_its_id(
    kind: RouteKind,
    resumable: bool,
    status: int,
    delay_s: float,
    framing: str,
) -> None:
    upstream = CopyingUpstream(status, delay_s, framing)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=1, resumable=resumable)
        await harness.start_raw_upstream(upstream.serve, keeps_connections=True)
        headers = {'attempt-id': _RESENT_ID}
        await harness.send_request(headers=headers, deadline_ms=200)
        upstream.is_full = False
        answer = await _send_resent(harness)
        assert_that(answer.head.status, Equals(200))
        assert_that(answer.body, Equals(_BODY))

    run_with_harness(scenario)
    assert_that(upstream.runs, Equals({_RESENT_ID: 1}))


@pytest.mark.parametrize('copies', [1, 2])
@pytest.mark.parametrize(
    'kind', [RouteKind.stream, RouteKind.non_idempotent], ids=str
)
def test_copied_refusal_does_not_run_a_request_at_a_second_upstream(
    kind: RouteKind, copies: int
) -> None:
    """Both upstreams refuse the request before it is sent again."""
    upstream = CopyingUpstream(503, 0, 'length', copies)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=2)
        for _ in range(2):
            await harness.start_raw_upstream(
                upstream.serve, keeps_connections=True
            )
        await _send_resent(harness)
        upstream.is_full = False
        answer = await _send_resent(harness)
        assert_that(answer.head.status, Equals(200))

    run_with_harness(scenario)
    assert_that(upstream.runs, Equals({_RESENT_ID: 1}))


@pytest.mark.parametrize(('delay_s', 'framing'), _COPIES)
@pytest.mark.parametrize('status', _STATUSES)
@pytest.mark.parametrize('kind', [RouteKind.idempotent, RouteKind.stream])
def test_copied_refusal_does_not_replace_the_response_to_the_entrys_retry(
    kind: RouteKind, status: int, delay_s: float, framing: str
) -> None:
    """A request that may be repeated goes to the same upstream again."""
    upstream = CopyingUpstream(status, delay_s, framing)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=1, resumable=True)
        await harness.start_raw_upstream(
            partial(_refuse_first, upstream), keeps_connections=True
        )
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(200))

    run_with_harness(scenario)
    assert_that(upstream.runs, Equals({'r1': 1}))


async def _refuse_first(
    upstream: CopyingUpstream, connection: RawConnection
) -> None:
    await upstream.serve(connection)
    upstream.is_full = False


@pytest.mark.parametrize(
    'kind', [RouteKind.stream, RouteKind.non_idempotent], ids=str
)
def test_copied_refusal_under_another_name_of_the_upstream_is_not_believed(
    kind: RouteKind,
) -> None:
    """The list gives the upstream a new name when it refuses the request."""
    upstream = CopyingUpstream(503, 0, 'length')

    async def scenario(harness: ForwardingHarness) -> None:
        async def serve(connection: RawConnection) -> None:
            was_full = upstream.is_full
            await _refuse_first(upstream, connection)
            if was_full:
                harness.raw_upstreams[0].name = 'renamed'
                harness.set_facts()

        harness.set_route(kind, attempts=2)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(200))

    run_with_harness(scenario)
    assert_that(upstream.runs, Equals({'r1': 1}))


@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_copy_that_arrives_on_an_idle_connection_answers_nobody(
    kind: RouteKind, resumable: bool
) -> None:
    """A guard: its connection is closed before the next request."""

    async def serve(connection: RawConnection) -> None:
        request_id = connection.headers[REQUEST_ID]
        if upstream.is_full:
            await connection.refuse(503)
            await connection.refuse(503)
            return
        upstream.runs[request_id] = upstream.runs.get(request_id, 0) + 1
        await connection.respond(PLAIN, 'length', _BODY)

    upstream = CopyingUpstream(503, 0, 'length')

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=1, resumable=resumable)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        headers = {'attempt-id': _RESENT_ID}
        await harness.send_request(headers=headers, deadline_ms=200)
        upstream.is_full = False
        answer = await _send_resent(harness)
        assert_that(answer.head.status, Equals(200))

    run_with_harness(scenario)
    assert_that(upstream.runs, Equals({_RESENT_ID: 1}))


def test_copy_of_a_response_does_not_answer_another_request_of_its_id() -> None:
    """A caller may give a second request the id of an earlier one."""

    async def serve(connection: RawConnection) -> None:
        arrivals.append(connection.number)
        body = f'{len(arrivals)}'.encode('ascii')
        if arrivals.count(connection.number) > 1:
            await connection.respond(PLAIN, 'length', b'1')
        await connection.respond(PLAIN, 'length', body)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.idempotent)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        for number in range(1, 4):
            answer = await _send_resent(harness)
            assert_that(answer.body, Equals(f'{number}'.encode('ascii')))

    arrivals: list[int] = []
    run_with_harness(scenario)


def test_connection_carries_a_request_once_and_a_bounded_number() -> None:
    """The memory for the ids that a connection has carried is bounded."""
    numbers: list[int] = []

    async def serve(connection: RawConnection) -> None:
        numbers.append(connection.number)
        await connection.respond(PLAIN, 'length', _BODY)

    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(serve, keeps_connections=True)
        for _ in range(2):
            await _send_resent(harness)
        for _ in range(600):
            await harness.send_request()

    run_with_harness(scenario)
    assert_that(numbers[:2], Equals([1, 2]))
    assert_that(max(map(numbers.count, numbers)) <= 300, Equals(True))
    assert_that(len(set(numbers)) <= 5, Equals(True))


def test_connection_that_carried_a_long_id_is_not_kept() -> None:
    """Ids of up to 16 kB, 256 on each idle connection, would take gigabytes."""
    ids = [f'{number}-{"x" * 10_000}' for number in range(3)]

    async def serve(connection: RawConnection) -> None:
        await connection.respond(PLAIN, 'length', _BODY)

    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(serve, keeps_connections=True)
        for request_id in ids:
            answer = await harness.send_request(
                headers={'attempt-id': request_id}
            )
            assert_that(answer.unwrap().head.status, Equals(200))
        assert_that(len(harness.services.pool), Equals(0))

    run_with_harness(scenario)


def test_connection_does_not_write_a_request_that_it_has_carried() -> None:
    """Whoever holds a connection without the pool may not repeat one either."""

    async def scenario(harness: ForwardingHarness) -> None:
        async def serve(connection: RawConnection) -> None:
            await connection.respond(PLAIN, 'length', _BODY)

        upstream = await harness.start_raw_upstream(
            serve, keeps_connections=True
        )
        address = parse_address(upstream.address).unwrap()
        connection = (await ClientConnection.connect(address, 1)).unwrap()
        request = ClientRequest(
            method='GET',
            target='/',
            headers=encode_headers({REQUEST_ID: 'r'}),
            request_id='r',
        )
        await fetch_on_connection(connection, request)
        written = connection.bytes_written
        sent = await connection.send_request(request)
        assert_that(isinstance(sent, Failed), Equals(True))
        assert_that(connection.bytes_written, Equals(written))
        connection.close()

    run_with_harness(scenario)
