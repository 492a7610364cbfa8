"""Crowds of callers that read slowly leave room for ordinary ones.

In virtual time, with sockets on loopback.
"""

import asyncio
import contextlib
import socket
from typing import Final, final

from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.web import (
    Address,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    MemoryBudget,
)

_ANY: Final = Address('127.0.0.1', 0)
_READERS: Final = 30
_BODY_BYTES: Final = 100_000
_RESPONSE_BYTES: Final = 200_000


@final
class _Handler(ExchangeHandler):
    """Reads the body of a request; responds to GET with a large body."""

    async def serve(self, exchange: Exchange) -> None:
        """Respond 200, or 503 if there was no memory for the body."""
        if exchange.head.method == 'GET':
            exchange.respond_nowait(200, bytes(_RESPONSE_BYTES))
            return
        body = await exchange.read_body()
        exchange.respond_nowait(200 if isinstance(body, Success) else 503, b'')


async def _connect(server: HttpServer, request: bytes) -> socket.socket:
    loop = asyncio.get_running_loop()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setblocking(False)
    await loop.sock_connect(caller, (server.address.host, server.address.port))
    await loop.sock_sendall(caller, request)
    return caller


async def _read_slowly(server: HttpServer) -> None:
    """Ask for a large response again and again, and read 8 KB a second."""
    loop = asyncio.get_running_loop()
    request = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
    while True:
        caller = await _connect(server, request)
        with caller, contextlib.suppress(ConnectionError):
            received = b'-'
            while received:
                received = await loop.sock_recv(caller, 4096)
                await asyncio.sleep(0.5)


async def _post(server: HttpServer) -> bytes:
    head = (
        f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {_BODY_BYTES}\r\n\r\n'
    )
    request = head.encode('ascii') + bytes(_BODY_BYTES)
    loop = asyncio.get_running_loop()
    with await _connect(server, b'') as caller:
        try:
            await loop.sock_sendall(caller, request)
            return (await loop.sock_recv(caller, 4096))[9:12]
        except ConnectionError:
            return b''


def test_ordinary_callers_are_served_while_a_crowd_reads_slowly() -> None:
    """Callers that go on reading, but slowly, kept all memory for themselves."""

    async def scenario() -> int:
        budget = MemoryBudget(4_000_000)
        bounds = HttpBounds(max_body_bytes=200_000)
        server = HttpServer(_ANY, _Handler(), bounds, budget=budget)
        async with server:
            assert server._server is not None
            for listening in server._server.sockets:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            crowd = [
                asyncio.create_task(_read_slowly(server))
                for _ in range(_READERS)
            ]
            await asyncio.sleep(5)
            served = 0
            for _ in range(20):
                served += await _post(server) == b'200'
                await asyncio.sleep(1)
            for one in crowd:
                one.cancel()
            return served

    assert_that(run_in_virtual_time(scenario()), Equals(20))
