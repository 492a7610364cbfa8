"""A late response to an earlier request, before the response that is due.

It names a request that the connection carried before, so it is read past. The
response that is due follows on the same connection.
"""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import repeat
from typing import Any, Final, NamedTuple

import eliot
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from persimmonhold.observability import metric
from persimmonhold.platform._names import (
    ANSWERING_PROCESS,
    LEAVING,
    NOT_RUN,
    REQUEST_ID,
    REQUEST_LIMIT,
    SIGNATURE,
)
from persimmonhold.routes import RouteKind
from persimmonhold.web import ClientRequest, Exchange, encode_headers, fetch
from tests.entry_builders import TIMEOUT_S, EntryHarness, ScriptedUpstream
from tests.forwarding_harness import (
    ROUTE_KINDS,
    ForwardingHarness,
    run_with_harness,
)
from tests.raw_upstream import EVENT_STREAM, PLAIN, RawConnection

_LATE_BODY: Final = b'{"of":"another caller"}'
_PROMISES: Final = frozenset((408, 421, 425, 429, 503))
_KINDS_RUN_ONCE: Final = (RouteKind.stream, RouteKind.non_idempotent)
_MAX_SKIPPED: Final = 4  # late responses before one response


class LateResponse(NamedTuple):
    """A response to an earlier request, and how its body ends."""

    status: int = 200
    framing: str = 'length'
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = _LATE_BODY

    def encode(self, request_id: str) -> bytes:
        """Return its bytes; it names no request for ''."""
        fields = dict(self.headers)
        if request_id:
            fields[REQUEST_ID] = request_id
        if self.status == 200:
            fields[SIGNATURE] = 's1'
        if self.status == 503:
            fields[NOT_RUN] = '1'
        body = self.body
        if self.framing == 'length':
            fields['content-length'] = str(len(body))
        elif self.framing == 'chunks':
            fields['transfer-encoding'] = 'chunked'
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join((f'HTTP/1.1 {self.status} Late', *lines, '', ''))
        return head.encode('ascii') + body


# Writes what comes before the response to the second request of a connection.
Prefix = Callable[[RawConnection, str], Awaitable[None]]


class LateUpstream:
    """Writes late responses before that to the second request it receives.

    `runs` counts the requests by id; `numbers` are their connections.
    """

    def __init__(self, prefix: Prefix, content_type: str = PLAIN) -> None:
        self.prefix = prefix
        self.content_type = content_type
        self.runs: dict[str, int] = {}
        self.numbers: list[int] = []

    async def serve(self, connection: RawConnection) -> None:
        """Run a request."""
        request_id = connection.headers[REQUEST_ID]
        earlier = list(self.runs)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.numbers.append(connection.number)
        if len(self.numbers) == 2:
            await self.prefix(connection, earlier[0])
        await connection.respond(
            self.content_type, 'chunks', _own_body(request_id)
        )


def _own_body(request_id: str) -> bytes:
    return b'id: 1\ndata: of %b\n\n' % request_id.encode('ascii')


def _write(*responses: LateResponse) -> Prefix:
    """Write responses in one piece."""

    async def prefix(connection: RawConnection, earlier: str) -> None:
        encoded = b''.join(late.encode(earlier) for late in responses)
        # Not drained, so that the response that is due is in the same read.
        connection.writer.write(encoded)

    return prefix


def _run(
    upstream: LateUpstream, kind: RouteKind, resumable: bool, attempts: int = 1
) -> tuple[int, bytes]:
    """Send three requests; return what the caller of the second one got."""
    answers: list[tuple[int, bytes]] = []

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=attempts, resumable=resumable)
        await harness.start_raw_upstream(upstream.serve, keeps_connections=True)
        for _ in range(3):
            answer = (await harness.send_request()).unwrap()
            answers.append((answer.head.status, answer.body))

    run_with_harness(scenario)
    assert_that(answers[0], Equals((200, _own_body('r1'))))
    assert_that(answers[2], Equals((200, _own_body('r3'))))
    return answers[1]


def _check_answered(
    upstream: LateUpstream, kind: RouteKind, resumable: bool, attempts: int = 1
) -> None:
    """Check that the second request was answered and ran once."""
    answer = _run(upstream, kind, resumable, attempts)
    assert_that(answer, Equals((200, _own_body('r2'))))
    assert_that(upstream.runs, Equals({'r1': 1, 'r2': 1, 'r3': 1}))
    # The connection is not used again after a late response.
    assert_that(upstream.numbers, Equals([1, 1, 2]))


@pytest.mark.parametrize('content_type', [PLAIN, EVENT_STREAM])
@pytest.mark.parametrize('count', [1, 2, _MAX_SKIPPED])
@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('status', [200, 500, 503])
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_late_responses_do_not_replace_the_response_that_is_due(
    kind: RouteKind,
    resumable: bool,
    status: int,
    framing: str,
    count: int,
    content_type: str,
) -> None:
    late = LateResponse(status, framing)
    upstream = LateUpstream(_write(*repeat(late, count)), content_type)
    _check_answered(upstream, kind, resumable)


@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_late_response_may_arrive_in_parts(
    kind: RouteKind, resumable: bool, framing: str
) -> None:
    """Each read ends within a head, a chunk line or a body."""

    async def prefix(connection: RawConnection, earlier: str) -> None:
        encoded = LateResponse(framing=framing).encode(earlier)
        for start in range(0, len(encoded), 7):
            await connection.write(encoded[start : start + 7])
            await asyncio.sleep(0.001)

    _check_answered(LateUpstream(prefix), kind, resumable)


@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_response_may_follow_a_second_after_a_late_one(
    kind: RouteKind, resumable: bool
) -> None:
    """A sound upstream takes its time, or falls silent for a second.

    A request that may be repeated is given up on its last attempt.
    """

    async def prefix(connection: RawConnection, earlier: str) -> None:
        await connection.write(LateResponse(503).encode(earlier))
        await asyncio.sleep(1)

    _check_answered(LateUpstream(prefix), kind, resumable, attempts=2)


async def _cut_off(connection: RawConnection, earlier: str) -> None:
    """The rest of the late response never comes."""
    await connection.write(LateResponse().encode(earlier)[:-5])


async def _cut_off_and_close(connection: RawConnection, earlier: str) -> None:
    await _cut_off(connection, earlier)
    connection.writer.close()


_OUT_OF_BOUNDS: Final = (
    pytest.param(
        _write(*repeat(LateResponse(), _MAX_SKIPPED + 1)), id='number'
    ),
    pytest.param(
        _write(LateResponse(body=b'x' * 2_000_000)), id='length_too_long'
    ),
    pytest.param(
        _write(LateResponse(framing='chunks', body=b'x' * 2_000_000)),
        id='chunks_too_long',
    ),
    pytest.param(_write(LateResponse(framing='connection')), id='no_end'),
    pytest.param(
        _write(LateResponse(headers=(('connection', 'close'),))), id='closing'
    ),
    pytest.param(_cut_off, id='cut_off'),
    pytest.param(_cut_off_and_close, id='cut_off_and_closed'),
)


@pytest.mark.parametrize('prefix', _OUT_OF_BOUNDS)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_late_response_without_a_near_end_is_not_relayed_or_believed(
    kind: RouteKind, resumable: bool, prefix: Prefix
) -> None:
    """Its request counts as perhaps run, which a promise would deny."""
    upstream = LateUpstream(prefix)
    status, body = _run(upstream, kind, resumable)
    assert_that(body, Not(Contains(_LATE_BODY)))
    assert_that(status in _PROMISES, Is(False))
    if kind in _KINDS_RUN_ONCE and not resumable:
        assert_that(status, Equals(502))
        assert_that(upstream.runs['r2'], Equals(1))


@pytest.mark.parametrize('named', ['', 'r0'], ids=['unnamed', 'never_carried'])
@pytest.mark.parametrize('status', [200, 500, 503])
@pytest.mark.parametrize('kind', _KINDS_RUN_ONCE, ids=str)
def test_response_that_names_no_request_of_its_connection_ends_the_attempt(
    kind: RouteKind, status: int, named: str
) -> None:
    """A guard: only requests that the connection carried are answered late."""

    async def prefix(connection: RawConnection, earlier: str) -> None:
        await connection.write(LateResponse(status).encode(named))

    upstream = LateUpstream(prefix)
    answered_as, body = _run(upstream, kind, resumable=False)
    assert_that(answered_as, Equals(502))
    assert_that(body, Not(Contains(_LATE_BODY)))
    assert_that(upstream.runs['r2'], Equals(1))


@pytest.mark.parametrize('kind', _KINDS_RUN_ONCE, ids=str)
def test_late_refusal_before_silence_promises_nothing(kind: RouteKind) -> None:
    async def prefix(connection: RawConnection, earlier: str) -> None:
        await connection.write(LateResponse(503).encode(earlier))
        await asyncio.sleep(1)

    upstream = LateUpstream(prefix)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=2)
        for _ in range(2):
            await harness.start_raw_upstream(
                upstream.serve, keeps_connections=True
            )
            await harness.send_request()
        answer = (await harness.send_request(deadline_ms=300)).unwrap()
        assert_that(answer.head.status in _PROMISES, Is(False))

    run_with_harness(scenario)
    assert_that(set(upstream.runs.values()), Equals({1}))


@pytest.mark.parametrize('kind', _KINDS_RUN_ONCE, ids=str)
@pytest.mark.parametrize('methods', [('POST', 'HEAD'), ('HEAD', 'POST')])
def test_body_of_a_late_response_is_not_taken_for_the_response_that_is_due(
    kind: RouteKind, methods: tuple[str, str]
) -> None:
    """Whether a response has a body depends on the method of its own request.

    A caller may have chosen the body of the late response.
    """
    numbers: list[int] = []

    async def serve(connection: RawConnection) -> None:
        method = methods[len(numbers)]
        numbers.append(connection.number)
        if len(numbers) == 2:
            inner = LateResponse(503).encode('r2')
            late = LateResponse(body=inner).encode('r1')
            if methods[0] == 'HEAD':
                late = late.removesuffix(inner)
            connection.writer.write(late)
        await connection.write_head(PLAIN, 'length', len(_LATE_BODY))
        if method != 'HEAD':
            await connection.write_body(_LATE_BODY, 'length')

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=1)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        statuses = []
        for number, method in enumerate(methods, start=1):
            headers = {REQUEST_ID: f'r{number}', 'deadline-ms': '4000'}
            request = ClientRequest(
                method=method,
                target='/chat/x',
                headers=encode_headers(headers),
                host='a.example',
            )
            answer = await fetch(harness.server.address, request, TIMEOUT_S)
            statuses.append(answer.unwrap().head.status)
        assert_that(statuses, Equals([200, 502]))

    run_with_harness(scenario)
    assert_that(numbers, Equals([1, 1]))


@pytest.mark.parametrize('status', [200, 503])
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_statements_of_a_late_response_are_recorded_as_of_any_other_request(
    kind: RouteKind, resumable: bool, status: int
) -> None:
    """That the process leaves counts, as it names itself; its limit does not."""
    lines: list[dict[str, Any]] = []
    headers = (
        (LEAVING, '1'),
        (REQUEST_LIMIT, '0.25'),
        (ANSWERING_PROCESS, 'r0'),
    )
    upstream = LateUpstream(_write(LateResponse(status, headers=headers)))

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=resumable)
        await harness.start_raw_upstream(upstream.serve, keeps_connections=True)
        await harness.send_request()
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(200))
        assert_that(answer.body, Equals(_own_body('r2')))
        for name in (LEAVING, REQUEST_LIMIT):
            assert_that(answer.head.header(name), Equals(''))
        assert_that(harness.hub.sparing.accepts_sending('r0'), Is(False))
        trackers = harness.hub.dispatcher.chooser.trackers
        assert_that(trackers['r0'].limit.per_s, Is(None))
        counted = harness.services.metrics.counter_value(
            metric.UNACCEPTED_RESPONSES, verdict='earlier_request'
        )
        assert_that(counted, Equals(1))

    eliot.add_destinations(lines.append)
    lines.clear()
    try:
        run_with_harness(scenario)
    finally:
        eliot.remove_destination(lines.append)
    logged = [
        line
        for line in lines
        if line['message_type'] == 'response_not_accepted'
    ]
    assert_that(
        [(line['verdict'], line['named_request']) for line in logged],
        Equals([('earlier_request', 'r1')]),
    )


# The interface of the product itself.


@pytest.mark.parametrize('count', [1, _MAX_SKIPPED, _MAX_SKIPPED + 1])
def test_own_interface_reads_past_late_responses(count: int) -> None:
    """Too many of them end the attempt, as each one did before."""
    name = 'persimmonhold-request-id'
    served: list[tuple[str, str]] = []

    async def script(exchange: Exchange) -> None:
        request_id = exchange.head.header(name)
        earlier = [one for one, peer in served if peer == exchange.head.peer]
        served.append((request_id, exchange.head.peer))
        if earlier:
            late = (
                f'HTTP/1.1 503 Late\r\n{name}: {earlier[0]}\r\n'
                'persimmonhold-ran: no\r\ncontent-length: 4\r\n\r\nlate'
            )
            transport = exchange._connection._transport  # noqa: SLF001
            assert transport is not None
            transport.write(late.encode('ascii') * count)
        headers = encode_headers({name: request_id})
        await exchange.respond(200, b'own', headers=headers)

    async def scenario() -> None:
        async with EntryHarness(ScriptedUpstream('s1', script)) as harness:
            first, second, third = [
                await harness.call('GET', '/services/lodgements/x')
                for _ in range(3)
            ]
            assert_that(first.body, Equals(b'own'))
            assert_that(third.body, Equals(b'own'))
            assert_that(second.body, Not(Contains(b'late')))
            if count <= _MAX_SKIPPED:
                assert_that(second.body, Equals(b'own'))
                assert_that(len(served), Equals(3))
            else:
                assert_that(second.head.status, Equals(502))
                ran = second.head.header('persimmonhold-ran')
                assert_that(ran, Equals('unknown'))

    asyncio.run(scenario())
