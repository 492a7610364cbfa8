"""Tests of the HTTP server with valid, slow, malformed and damaged requests.

A connection is driven as a protocol through a fake transport. The property
tests run 400 pipelines of valid requests that are split at any position, and
600 damaged requests.
"""

import asyncio
import socket
from types import MappingProxyType
from typing import Any, Final, final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
    StartsWith,
)

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.failures import FailureKind
from persimmonhold.web import (
    Address,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    MemoryBudget,
    Rejection,
)
from persimmonhold.web._server_connection import ServerConnection

_BOUNDS: Final = HttpBounds(
    max_head_bytes=1024,
    max_body_bytes=512,
    max_buffered_bytes=600,
    head_timeout_s=0.02,
    body_timeout_s=0.02,
    idle_timeout_s=0.02,
    send_timeout_s=0.02,
)
_STATUSES: Final = MappingProxyType({
    None: 200,
    FailureKind.refused: 413,
    FailureKind.overloaded: 503,
})
_DRAIN_TIMEOUT_S: Final = 5.0
_IDLE_S: Final = 1.0
# More than the socket buffers hold.
_LARGE_BYTES: Final = 20_000_000
_HOST: Final = b'Host: a\r\n'


@final
class _Transport(asyncio.Transport):
    """Collects written bytes; closes like the transports of the event loop."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.written = b''
        self.is_closed = False
        self.ended = asyncio.Event()
        self.readable = asyncio.Event()
        self.readable.set()

    def write(self, data: Any) -> None:
        """Collect the bytes."""
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        """Return 0: all bytes are taken at once."""
        return 0

    def close(self) -> None:
        """Report the end of the connection in the next loop iteration."""
        self.ended.set()
        self.readable.set()
        if not self.is_closed:
            self.is_closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    def abort(self) -> None:
        """Close without flushing."""
        self.close()

    def can_write_eof(self) -> bool:
        """Return True: the sending half can be closed."""
        return True

    def write_eof(self) -> None:
        """Record that the sending half was closed."""
        self.ended.set()

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.readable.clear()

    def resume_reading(self) -> None:
        """Record that reading is resumed."""
        self.readable.set()


@final
class _Echo(ExchangeHandler):
    """Responds with the method, target and body of the request."""

    def __init__(self) -> None:
        self.running = 0

    async def serve(self, exchange: Exchange) -> None:
        """Echo the request."""
        self.running += 1
        try:
            await self._answer(exchange)
        finally:
            self.running -= 1

    def build_rejection(self, status: int) -> Rejection:
        """Return a rejection with a JSON body."""
        return Rejection(status=status, body=b'{"ran":"no"}')

    async def _answer(self, exchange: Exchange) -> None:
        if exchange.head.target == '/hang':
            await asyncio.Event().wait()
        body = await exchange.read_body()
        parts = (exchange.head.method, exchange.head.target)
        echoed = ' '.join(parts).encode() + b' ' + body.value_or(b'refused')
        status = _STATUSES[exchange.body_refusal]
        await exchange.respond(status, echoed)


@final
class _ConnectionDriver:
    """Drives a connection through a fake transport and an echo handler."""

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self.ends: list[ServerConnection] = []
        self.handler = _Echo()
        self.budget = budget or MemoryBudget(_BOUNDS.max_buffered_bytes)
        self.connection = ServerConnection(
            self.handler,
            _BOUNDS,
            self.budget,
            self.ends.append,
        )
        self.transport = _Transport(self.connection)
        self.connection.connection_made(self.transport)

    async def feed(self, *chunks: bytes) -> None:
        """Deliver chunks like the event loop, while reading is not paused."""
        for chunk in chunks:
            await self.transport.readable.wait()
            if not self.transport.is_closed:
                self.connection.data_received(chunk)
            await self.settle()

    async def settle(self) -> None:
        """Let tasks run for a few loop iterations."""
        for _ in range(6):
            await asyncio.sleep(0)

    async def disconnect(self) -> None:
        """End the connection from the peer's side."""
        self.transport.close()
        await self.settle()


def _drive(*chunks: bytes) -> tuple[_ConnectionDriver, int]:
    """Feed chunks, disconnect, and count leftover tasks, timers and bytes."""

    async def scenario() -> tuple[_ConnectionDriver, int]:
        driven = _ConnectionDriver()
        await driven.feed(*chunks)
        await driven.disconnect()
        left = driven.connection.timer.is_running, driven.budget.reserved_bytes
        return driven, len(asyncio.all_tasks()) - 1 + sum(left)

    return run_in_virtual_time(scenario())


def _request(index: int, body: bytes, chunked: bool) -> bytes:
    head = b'POST /%d HTTP/1.1\r\n' % index + _HOST
    if not chunked:
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        return head + length + body
    framed = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
    coding = b'Transfer-Encoding: chunked\r\n\r\n'
    return head + coding + framed + b'0\r\n\r\n'


def _split(whole: bytes, positions: list[int]) -> list[bytes]:
    edges = sorted({0, len(whole), *(at % len(whole) for at in positions)})
    return [
        whole[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


@settings(max_examples=400)
@given(
    st.lists(
        st.tuples(st.binary(max_size=40), st.booleans()),
        min_size=1,
        max_size=5,
    ),
    st.lists(st.integers(0, 10_000), max_size=12),
)
def test_pipelined_requests_are_answered_in_order_however_cut(
    bodies: list[tuple[bytes, bool]],
    places: list[int],
) -> None:
    whole = b''.join(
        _request(index, body, chunked)
        for index, (body, chunked) in enumerate(bodies)
    )
    driven, left = _drive(*_split(whole, places))
    expected = [
        b'POST /%d ' % index + body for index, (body, _) in enumerate(bodies)
    ]
    rest = driven.transport.written
    for echoed in expected:
        head, _, rest = rest.partition(b'\r\n\r\n')
        assert_that(head, StartsWith(b'HTTP/1.1 200'))
        assert_that(rest[: len(echoed)], Equals(echoed))
        rest = rest[len(echoed) :]
    assert_that((rest, left), Equals((b'', 0)))


@settings(max_examples=600)
@given(
    st.binary(max_size=60),
    st.integers(0, 120),
    st.integers(0, 12),
    st.booleans(),
    st.lists(st.integers(0, 10_000), max_size=4),
)
def test_damaged_requests_leave_nothing_behind(
    damage: bytes,
    at: int,
    dropped: int,
    chunked: bool,
    places: list[int],
) -> None:
    good = _request(0, b'x' * 20, chunked)
    whole = good[:at] + damage + good[at + dropped :]
    driven, left = _drive(*_split(whole or b'\r', places))
    assert_that((left, driven.handler.running), Equals((0, 0)))
    assert_that(driven.ends, HasLength(1))
    statuses = {
        line.split(b' ')[1]
        for line in driven.transport.written.split(b'\r\n')
        if line.startswith(b'HTTP/1.1 ')
    }
    assert_that(statuses - {b'200', b'400', b'413', b'501'}, Equals(set()))


@pytest.mark.parametrize(
    ('head', 'status'),
    [
        (b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n', b'400'),
        (b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n', b'400'),
        (
            b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n',
            b'400',
        ),
        (b'Content-Length: 3\r\nContent-Length: 4\r\n', b'400'),
        (b'Content-Length: +3\r\n', b'400'),
        (b'Content-Length: -1\r\n', b'400'),
        (b'Transfer-Encoding: gzip, chunked\r\n', b'501'),
        (b'Transfer-Encoding : chunked\r\n', b'400'),
        (b'X-Long: ' + b'x' * 2000 + b'\r\n', b'413'),
        (b'Host: b\r\n', b'400'),
    ],
)
def test_ambiguous_heads_are_refused_and_the_connection_closed(
    head: bytes,
    status: bytes,
) -> None:
    whole = b'POST / HTTP/1.1\r\n' + _HOST + head + b'\r\n'
    driven, left = _drive(whole + b'abc' + _request(1, b'', chunked=False))
    written = driven.transport.written
    assert_that(written, StartsWith(b'HTTP/1.1 ' + status))
    assert_that(written, Contains(b'connection: close'))
    assert_that(written, Not(Contains(b'POST /1')))
    assert_that(left, Equals(0))


@pytest.mark.parametrize(
    ('request_bytes', 'expected', 'unexpected'),
    [
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
            b'Content-Length: 3\r\n\r\n',
            b'100 ',
            b'413',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n'
            b'Content-Length: 9999\r\n\r\n',
            b'413',
            b'100 ',
        ),
        (
            b'GET /old HTTP/1.0\r\n\r\n',
            b'GET /old ',
            b'transfer-encoding',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n3e8\r\n' + b'x' * 1000,
            b'413',
            b' 200 ',
        ),
    ],
)
def test_answers_to_unusual_requests(
    request_bytes: bytes,
    expected: bytes,
    unexpected: bytes,
) -> None:
    driven, left = _drive(request_bytes)
    assert_that(driven.transport.written, Contains(expected))
    assert_that(driven.transport.written, Not(Contains(unexpected)))
    assert_that(left, Equals(0))


def test_caller_that_vanishes_cancels_its_handler() -> None:
    driven, left = _drive(b'GET /hang HTTP/1.1\r\n' + _HOST + b'\r\n')
    assert_that((left, driven.handler.running), Equals((0, 0)))


@pytest.mark.parametrize(
    'sent',
    [
        b'',
        b'GET / HT',
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n',
    ],
)
def test_slow_senders_are_answered_or_closed(sent: bytes) -> None:
    async def scenario() -> bytes:
        driven = _ConnectionDriver()
        if sent:
            driven.connection.data_received(sent)
        await driven.transport.ended.wait()
        await driven.disconnect()
        return driven.transport.written

    written = run_in_virtual_time(scenario())
    assert_that(written.count(b'HTTP/1.1'), Equals(1 if sent else 0))


def test_bodies_share_a_budget_and_give_it_back() -> None:
    async def scenario() -> tuple[bytes, int]:
        budget = MemoryBudget(_BOUNDS.max_buffered_bytes)
        first, second = _ConnectionDriver(budget), _ConnectionDriver(budget)
        half = _request(0, b'x' * 400, chunked=False)
        await first.feed(half[:-1])
        await second.feed(half)
        await first.disconnect()
        await second.disconnect()
        return second.transport.written, budget.reserved_bytes

    written, kept = run_in_virtual_time(scenario())
    assert_that(written, StartsWith(b'HTTP/1.1 503'))
    assert_that(kept, Equals(0))


def test_connections_beyond_the_bound_are_closed_at_once() -> None:
    async def scenario() -> int:
        bounds = HttpBounds(max_connections=3)
        server = HttpServer(Address('127.0.0.1', 0), _Echo(), bounds)
        async with server:
            streams = [
                await asyncio.open_connection(
                    server.address.host,
                    server.address.port,
                )
                for _ in range(5)
            ]
            ended = [await streams[index][0].read() for index in (3, 4)]
            open_count = server.connection_count
            for _, writer in streams:
                writer.close()
            assert_that(ended, Equals([b'', b'']))
            return open_count

    assert_that(asyncio.run(scenario()), LessThan(4))


def test_connection_accepted_while_closing_does_not_hold_up_a_drain() -> None:
    async def scenario() -> int:
        server = HttpServer(Address('127.0.0.1', 0), _Echo(), HttpBounds())
        async with server:
            loop = asyncio.get_running_loop()
            address = (server.address.host, server.address.port)
            late = [socket.create_connection(address) for _ in range(3)]
            # The loop accepts them in one iteration and calls
            # `connection_made` in a later one.
            handed_over = loop.create_future()
            loop.call_soon(handed_over.set_result, None)
            await handed_over
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                await server.drain()
                await loop.create_task(asyncio.sleep(0))
                await server.drain()
            for one in late:
                one.close()
            return server.connection_count

    assert_that(asyncio.run(scenario()), Equals(0))


@final
class _Large(ExchangeHandler):
    """Responds with more than the socket buffers hold."""

    async def serve(self, exchange: Exchange) -> None:
        """Respond without waiting until the peer has read."""
        exchange.respond_nowait(200, bytes(_LARGE_BYTES))


@pytest.mark.parametrize('is_draining', [False, True])
def test_connection_whose_peer_reads_slowly_is_closed_when_idle(
    is_draining: bool,
) -> None:
    async def scenario() -> bytes:
        bounds = HttpBounds(idle_timeout_s=_IDLE_S)
        server = HttpServer(Address('127.0.0.1', 0), _Large(), bounds)
        async with server:
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port, limit=2**10
            )
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(_IDLE_S / 2)
            draining = asyncio.create_task(server.drain())
            if not is_draining:
                draining.cancel()
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                received = await reader.read()
            writer.close()
            if is_draining:
                await draining
            return received

    assert_that(len(run_in_virtual_time(scenario())), GreaterThan(_LARGE_BYTES))
