"""Tests of peers that send very long or endless input in tiny parts.

The event loop must serve others meanwhile, and what is kept must be bounded.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from persimmonhold.failures import Failure
from persimmonhold.platform._upstream_client import PlatformUpstreamClient
from persimmonhold.routes import RouteKind
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    Exchange,
    HttpBounds,
    HttpServer,
    ResponseBodySink,
)
from tests.entry_builders import ANY_PORT
from tests.forwarding_harness import (
    ROUTE_KINDS,
    ForwardingHarness,
    ScriptedUpstream,
    run_with_harness,
)
from tests.raw_upstream import PLAIN, RawConnection

# What the loop may do in one turn; a machine that runs CI is several times
# slower at times. The fault held the loop for 0.5 s, again and again.
_MAX_LATENESS_S = 0.2
_CHUNKS_PER_WRITE = 16_384
_TINY_CHUNK = b'1\r\nx\r\n'
_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


class CollectingSink(ResponseBodySink):
    """Collects a body."""

    def __init__(self) -> None:
        self.received = bytearray()

    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Keep a part of the body."""
        self.received += chunk
        return True


async def _measure_lateness(duration_s: float) -> float:
    """Return by how much a timer of the loop was late at the most."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    worst_s = 0.0
    while loop.time() < ends_at:
        before = loop.time()
        await asyncio.sleep(0.01)
        worst_s = max(worst_s, loop.time() - before - 0.01)
    return worst_s


async def _serve_raw(
    respond: Callable[[asyncio.StreamWriter], Awaitable[None]],
) -> tuple[asyncio.Server, Address]:
    """Start a server that answers each connection's request by `respond`."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            await respond(writer)
        except ConnectionError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    return server, Address(host, port)


async def _open(address: Address) -> ClientConnection:
    connected = await ClientConnection.connect(address, 1)
    connection = connected.unwrap()
    sent = await connection.send_request(
        ClientRequest(method='GET', target='/')
    )
    sent.unwrap()
    (await connection.receive_head()).unwrap()
    return connection


async def _write_endlessly(writer: asyncio.StreamWriter) -> None:
    writer.write(_HEAD)
    while True:
        writer.write(_TINY_CHUNK * _CHUNKS_PER_WRITE)
        await writer.drain()


# A read full of one-byte chunks held the event loop for half a second.
@pytest.mark.parametrize('connection_count', [1, 12])
def test_endless_tiny_chunks_leave_the_loop_to_others(
    connection_count: int,
) -> None:
    async def scenario() -> float:
        server, address = await _serve_raw(_write_endlessly)
        connections = [await _open(address) for _ in range(connection_count)]
        bodies = [
            asyncio.create_task(one.stream_body(CollectingSink()))
            for one in connections
        ]
        lateness_s = await _measure_lateness(1.0)
        for body in bodies:
            body.cancel()
        for connection in connections:
            connection.close()
        server.close()
        return lateness_s

    assert_that(asyncio.run(scenario()), LessThan(_MAX_LATENESS_S))


# Reports of upstreams and responses to orders are read this way.
def test_endless_tiny_chunks_of_a_buffered_body_leave_the_loop_to_others() -> (
    None
):
    async def scenario() -> float:
        server, address = await _serve_raw(_write_endlessly)
        connection = await _open(address)
        body = asyncio.create_task(connection.receive_body(1_048_576))
        lateness_s = await _measure_lateness(1.0)
        body.cancel()
        connection.close()
        server.close()
        return lateness_s

    assert_that(asyncio.run(scenario()), LessThan(_MAX_LATENESS_S))


# The rest of a body that takes several reads was never read.
@pytest.mark.parametrize('is_streamed', [True, False])
@pytest.mark.parametrize('size', [64, 65, 3000, 80_000])
def test_long_body_of_tiny_chunks_arrives_whole(
    is_streamed: bool, size: int
) -> None:
    async def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(_HEAD + _TINY_CHUNK * size + b'0\r\n\r\n')
        await writer.drain()
        await asyncio.sleep(0.2)

    async def scenario() -> bytes:
        server, address = await _serve_raw(respond)
        connection = await _open(address)
        sink = CollectingSink()
        async with asyncio.timeout(30):
            if is_streamed:
                (await connection.stream_body(sink)).unwrap()
            else:
                sink.received += (await connection.receive_body()).unwrap()
            # An idle connection is read, so that its end is noticed.
            await asyncio.sleep(0.5)
            assert_that(connection.is_reusable, Equals(False))
        server.close()
        return bytes(sink.received)

    assert_that(asyncio.run(scenario()), Equals(b'x' * size))


async def _write_forever(writer: asyncio.StreamWriter, part: bytes) -> None:
    while True:
        writer.write(part * 1024)
        await writer.drain()


# A peer that sends what is no response, without end, fails within bounds.
@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (b'', b'x'),
        (b'HTTP/1.1 200 ', b'x'),
        (b'HTTP/1.1 200 OK\r\n', b'name: value\r\n'),
        (b'HTTP/1.1 200 OK\r\nname: ', b'x'),
    ],
    ids=['informational', 'status line', 'reason', 'headers', 'header'],
)
def test_endless_head_fails_within_bounds(start: bytes, part: bytes) -> None:
    async def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        await _write_forever(writer, part)

    async def scenario() -> Failure:
        server, address = await _serve_raw(respond)
        connected = await ClientConnection.connect(address, 1)
        connection = connected.unwrap()
        (
            await connection.send_request(
                ClientRequest(method='GET', target='/')
            )
        ).unwrap()
        async with asyncio.timeout(5):
            head = await connection.receive_head()
        connection.close()
        server.close()
        assert isinstance(head, Failed)
        failure: Failure = head.failure()
        return failure

    failure = asyncio.run(scenario())
    assert_that(failure.step, Equals('receive head'))


@pytest.mark.parametrize(
    ('framing', 'part'),
    [
        (b'', b'1' * 64),
        (b'1;', b'x'),
        (b'0\r\n', b'name: value\r\n'),
    ],
    ids=['chunk size', 'chunk extension', 'trailer'],
)
def test_endless_framing_of_chunks_fails_within_bounds(
    framing: bytes, part: bytes
) -> None:
    async def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(_HEAD + framing)
        await _write_forever(writer, part)

    async def scenario() -> None:
        server, address = await _serve_raw(respond)
        connection = await _open(address)
        async with asyncio.timeout(5):
            body = await connection.receive_body()
        connection.close()
        server.close()
        assert isinstance(body, Failed)

    asyncio.run(scenario())


# One upstream of two answers without end; the entry serves the others.
@pytest.mark.parametrize(
    'kind', [RouteKind.idempotent, RouteKind.non_idempotent]
)
def test_endless_answer_of_one_upstream_delays_no_other_request(
    kind: RouteKind,
) -> None:
    async def serve_endlessly(connection: RawConnection) -> None:
        await connection.write_head(PLAIN, 'chunks', 0)
        while True:
            connection.writer.write(_TINY_CHUNK * _CHUNKS_PER_WRITE)
            await connection.writer.drain()

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind)
        await harness.start_raw_upstream(serve_endlessly)
        requests = [
            asyncio.create_task(harness.send_request()) for _ in range(6)
        ]
        lateness_s = await _measure_lateness(1.0)
        for request in requests:
            request.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        assert_that(lateness_s, LessThan(_MAX_LATENESS_S))

    run_with_harness(scenario)


def test_body_of_a_caller_in_tiny_chunks_leaves_the_loop_to_others() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.idempotent)
        address = harness.server.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(
            b'POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        sending = asyncio.create_task(_write_forever(writer, _TINY_CHUNK * 16))
        lateness_s = await _measure_lateness(1.0)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
        assert_that(lateness_s, LessThan(_MAX_LATENESS_S))

    run_with_harness(scenario)


@pytest.mark.parametrize('size', [3000, 80_000])
def test_body_of_a_caller_in_tiny_chunks_arrives_whole(size: int) -> None:
    async def echo_size(exchange: Exchange) -> None:
        body = await exchange.read_body()
        await exchange.respond(200, b'%d' % len(body.unwrap()))

    async def scenario() -> bytes:
        handler = ScriptedUpstream('u1', echo_size)
        async with HttpServer(ANY_PORT, handler, HttpBounds()) as server:
            address = server.address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            head = b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked'
            request = head + b'\r\n\r\n' + _TINY_CHUNK * size + b'0\r\n\r\n'
            # The next request is behind the body in the same read.
            writer.write(request * 2)
            received = b''
            async with asyncio.timeout(30):
                while received.count(b'%d' % size) < 2:
                    received += await reader.read(65_536)
            writer.close()
            return received

    assert_that(asyncio.run(scenario()).count(b'HTTP/1.1 200'), Equals(2))


# Buffers of the four sockets between the upstream and the caller, and what the
# entry may keep.
_MAX_ACCEPTED_BYTES = 48 * 1_048_576
_EVENT_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nattempt-id: %b\r\n'
    b'server-signature: s\r\ntransfer-encoding: chunked\r\n\r\n'
)


# A response without end must not pile up while its caller does not read.
@pytest.mark.parametrize(
    'part', [b'.', b'id: 1\ndata: x\n\n', b'data: x\n'], ids=str
)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_entry_keeps_a_bounded_part_of_an_endless_response(
    kind: RouteKind, resumable: bool, part: bytes
) -> None:
    accepted: list[int] = []
    block = part * (262_144 // len(part))

    async def serve_endlessly(connection: RawConnection) -> None:
        request_id = connection.headers['attempt-id'].encode('ascii')
        await connection.write(_EVENT_STREAM_HEAD % request_id)
        while True:
            await connection.write_body(block, 'chunks')
            accepted.append(len(block))

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=2, resumable=resumable)
        await harness.start_raw_upstream(serve_endlessly)
        address = harness.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port, limit=1024
        )
        writer.write(
            b'GET /chat/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: r1\r\n'
            b'deadline-ms: 4000\r\n\r\n'
        )
        await asyncio.sleep(0.7)
        assert_that(sum(accepted), LessThan(_MAX_ACCEPTED_BYTES))
        writer.close()
        reader.feed_eof()

    run_with_harness(scenario)


# Pages without end used to be kept as long as each of them was small enough.
def test_list_without_end_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    pages: list[bytes] = []
    page = b'{"instances":[],"next-token":"more","rest":"%b"}' % (
        b'x' * 900_000
    )

    async def serve(exchange: Exchange) -> None:
        pages.append(page)
        await exchange.respond(200, page)

    async def scenario() -> None:
        handler = ScriptedUpstream('list', serve)
        async with HttpServer(ANY_PORT, handler, HttpBounds()) as server:
            client = PlatformUpstreamClient(server.address, 'vm1')
            read = await client.read_list()
            client.close()
        assert isinstance(read, Failed)

    module = 'persimmonhold.platform._upstream_client'
    monkeypatch.setattr(f'{module}._READ_TIMEOUT_S', 30)
    asyncio.run(scenario())
    assert_that(pages, HasLength(19))
