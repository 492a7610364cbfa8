"""Callers that read slowly get the whole response that was written for them.

In virtual time, with sockets on loopback.
"""

import asyncio
import socket
from typing import Final, final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.web import (
    Address,
    BufferShare,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    MemoryBudget,
)

_ANY: Final = Address('127.0.0.1', 0)
_PAUSE_S: Final = 1.5  # longer than a connection is kept after its response
_READ_BYTES: Final = 4096
_SIZE_BYTES: Final = 60_000  # below the limit that pauses a writer
_LARGE_BYTES: Final = 200_000
_HEAD: Final = b'GET / HTTP/1.1\r\nHost: a\r\n'


@final
class _Body(ExchangeHandler):
    """Responds with a body, once `is_ready` is set."""

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        self.is_ready = asyncio.Event()
        self.is_ready.set()

    async def serve(self, exchange: Exchange) -> None:
        """Respond without waiting until the peer has read."""
        await self.is_ready.wait()
        exchange.respond_nowait(200, bytes(self.size_bytes))


@final
class SlowCaller:
    """Sends requests from a socket with a small buffer, and reads slowly."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.received = b''

    async def send(self, server: HttpServer, request: bytes) -> None:
        """Connect and send a request."""
        loop = asyncio.get_running_loop()
        address = (server.address.host, server.address.port)
        await loop.sock_connect(self.socket, address)
        await loop.sock_sendall(self.socket, request)

    async def read(self, pause_s: float) -> None:
        """Read until the connection ends, with a pause before each read."""
        loop = asyncio.get_running_loop()
        chunk = b'-'
        while chunk:
            await asyncio.sleep(pause_s)
            try:
                chunk = await loop.sock_recv(self.socket, _READ_BYTES)
            except ConnectionError:
                chunk = b''
            self.received += chunk
        self.socket.close()

    @property
    def body_bytes(self) -> int:
        """The size of the body as far as it was received."""
        return len(self.received.partition(b'\r\n\r\n')[2])


def _limit_send_buffer(server: HttpServer) -> None:
    """Have the process hold most of what its callers have not read."""
    assert server._server is not None
    for listening in server._server.sockets:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


@pytest.mark.parametrize('reason', ['caller', 'stop', 'old'])
def test_response_is_sent_whole_before_the_connection_closes(
    reason: str,
) -> None:
    """The end of a response was dropped 1 s after it had been written."""

    async def scenario() -> int:
        handler = _Body(_SIZE_BYTES)
        async with HttpServer(_ANY, handler, HttpBounds()) as server:
            _limit_send_buffer(server)
            caller = SlowCaller()
            request = _HEAD + b'\r\n'
            if reason == 'caller':
                request = _HEAD + b'Connection: close\r\n\r\n'
            elif reason == 'old':
                request = b'GET / HTTP/1.0\r\n\r\n'
            handler.is_ready.clear()
            await caller.send(server, request)
            await asyncio.sleep(0.1)
            draining = None
            if reason == 'stop':
                draining = asyncio.create_task(server.drain())
                await asyncio.sleep(0.1)
            handler.is_ready.set()
            await caller.read(_PAUSE_S)
            if draining is not None:
                await draining
            return caller.body_bytes

    assert_that(run_in_virtual_time(scenario()), Equals(_SIZE_BYTES))


@pytest.mark.parametrize('size_bytes', [60_000, 1_000_000])
@pytest.mark.parametrize('reason', ['caller', 'stop', 'kept'])
def test_caller_that_stops_reading_is_closed(
    reason: str, size_bytes: int
) -> None:
    """A connection that lingers for its caller does not do so for ever."""

    async def scenario() -> float:
        handler = _Body(size_bytes)
        async with HttpServer(_ANY, handler, HttpBounds()) as server:
            _limit_send_buffer(server)
            caller = SlowCaller()
            fields = b'Connection: close\r\n' if reason == 'caller' else b''
            await caller.send(server, _HEAD + fields + b'\r\n')
            began_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1)
            await asyncio.wait_for(server.drain(), 200)
            caller.socket.close()
            return asyncio.get_running_loop().time() - began_at

    took_s = run_in_virtual_time(scenario())
    assert_that(took_s, GreaterThan(HttpBounds().send_timeout_s - 1))
    assert_that(took_s, LessThan(HttpBounds().send_timeout_s + 35))


@pytest.mark.parametrize('is_kept', [True, False])
def test_caller_that_goes_on_reading_has_time(is_kept: bool) -> None:
    """It was closed 30 s after the response, though it went on reading."""

    async def scenario() -> int:
        handler = _Body(_LARGE_BYTES)
        bounds = HttpBounds(idle_timeout_s=1)
        async with HttpServer(_ANY, handler, bounds) as server:
            _limit_send_buffer(server)
            caller = SlowCaller()
            fields = b'' if is_kept else b'Connection: close\r\n'
            await caller.send(server, _HEAD + fields + b'\r\n')
            await caller.read(_PAUSE_S)
            return caller.body_bytes

    assert_that(run_in_virtual_time(scenario()), Equals(_LARGE_BYTES))


def test_response_that_is_being_read_makes_no_room_for_a_connection() -> None:
    """Its end was dropped if the request had taken longer than 1 s."""

    async def scenario() -> int:
        handler = _Body(_LARGE_BYTES)
        handler.is_ready.clear()
        budget = MemoryBudget(2**28, max_connections=1)
        server = HttpServer(_ANY, handler, HttpBounds(), budget=budget)
        async with server:
            _limit_send_buffer(server)
            caller = SlowCaller()
            await caller.send(server, _HEAD + b'\r\n')
            await asyncio.sleep(4)
            handler.is_ready.set()
            reading = asyncio.create_task(caller.read(0.05))
            await asyncio.sleep(0.2)
            other = SlowCaller()
            await other.send(server, _HEAD + b'\r\n')
            await asyncio.sleep(30)
            await server.drain()
            await reading
            other.socket.close()
            return caller.body_bytes

    assert_that(run_in_virtual_time(scenario()), Equals(_LARGE_BYTES))


@pytest.mark.parametrize('is_read', [True, False])
def test_response_that_is_being_read_is_kept_where_memory_is_short(
    is_read: bool,
) -> None:
    """It was dropped for the body of another request, which may be refused."""

    async def scenario() -> int:
        budget = MemoryBudget(2**28)
        server = HttpServer(
            _ANY, _Body(_LARGE_BYTES), HttpBounds(), budget=budget
        )
        async with server:
            _limit_send_buffer(server)
            caller = SlowCaller()
            await caller.send(server, _HEAD + b'\r\n')
            await asyncio.sleep(0.1)
            reading = asyncio.create_task(caller.read(0.2 if is_read else 30))
            await asyncio.sleep(4)
            # Other requests try to reserve memory, and there is none.
            budget.limit_bytes = budget.reserved_bytes
            for _ in range(20):
                BufferShare(budget).try_resize(_READ_BYTES)
                await asyncio.sleep(0.2)
            await reading
            return caller.body_bytes

    body_bytes = run_in_virtual_time(scenario())
    if is_read:
        assert_that(body_bytes, Equals(_LARGE_BYTES))
    else:
        assert_that(body_bytes, LessThan(_LARGE_BYTES))
