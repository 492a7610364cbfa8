"""Errors in the connection of a caller end it, and are logged."""

import asyncio
import socket
import struct
from typing import Any, Final, final

import eliot
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.web import (
    Address,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
)

_ANY: Final = Address('127.0.0.1', 0)
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


@final
class _ResettingCaller(ExchangeHandler):
    """Responds to a caller that resets its connection right after that."""

    def __init__(self) -> None:
        self.caller = socket.socket()
        self.has_reset = asyncio.Event()

    async def serve(self, exchange: Exchange) -> None:
        """Respond, and reset the connection before the loop can notice."""
        exchange.respond_nowait(200, b'{}')
        self.caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self.caller.close()
        self.has_reset.set()


def test_caller_that_resets_its_connection_as_it_closes() -> None:
    """The error was that of a task which nobody awaited."""
    unhandled: list[dict[str, Any]] = []
    logged: list[dict[str, Any]] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        handler = _ResettingCaller()
        async with HttpServer(_ANY, handler, HttpBounds()) as server:
            handler.caller.connect((server.address.host, server.address.port))
            handler.caller.send(
                b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
            )
            await handler.has_reset.wait()
            await asyncio.sleep(0.1)
            assert_that(server.connection_count, Equals(0))

    # Without a destination, eliot keeps messages for the first one.
    eliot.add_destinations(logged.append)
    logged.clear()
    try:
        run_in_virtual_time(scenario())
    finally:
        eliot.remove_destination(logged.append)
    assert_that(unhandled, Equals([]))
    names = [line['message_type'] for line in logged]
    assert_that(names, Equals(['connection_failed']))
