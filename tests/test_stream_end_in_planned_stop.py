"""The end of a response arrives around a planned stop, also at slow callers.

In virtual time, with sockets on loopback.
"""

import asyncio
from typing import Final, final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.web import Exchange, ExchangeHandler, HttpBounds, HttpServer
from tests.test_unread_responses import _ANY, SlowCaller, _limit_send_buffer

_NEXT: Final = b'GET /next HTTP/1.1\r\nHost: a\r\n\r\n'
_BODY: Final = bytes(60_000) + b'last'


@final
class _Responses(ExchangeHandler):
    """Responds with 60 KB; to /stream 1 s after a head without a length."""

    async def serve(self, exchange: Exchange) -> None:
        """Respond without waiting until the peer has read."""
        if exchange.head.target == '/next':
            exchange.respond_nowait(503, b'')
        elif exchange.head.target == '/plain':
            exchange.respond_nowait(200, _BODY)
        else:
            exchange.start_response_nowait(200, ())
            await asyncio.sleep(1)
            exchange.write_body_chunk(_BODY)
            exchange.finish_response_nowait()


@pytest.mark.parametrize('sent_after_s', [0.3, 2.0, 6.0])
@pytest.mark.parametrize('kind', ['plain', 'stream', 'late stream'])
def test_request_that_crosses_the_close_does_not_cut_the_response(
    kind: str, sent_after_s: float
) -> None:
    """A close with unread bytes reset the connection, with a response's end.

    The caller sends its next request so long after the end of the response was
    written, while it still reads it. The head of a late stream is sent after
    the close was announced.
    """

    async def scenario() -> bytes:
        async with HttpServer(_ANY, _Responses(), HttpBounds()) as server:
            _limit_send_buffer(server)
            caller = SlowCaller()
            path = b'plain' if kind == 'plain' else b'stream'
            if kind == 'late stream':
                server.announce_close()
            await caller.send(
                server, b'GET /' + path + b' HTTP/1.1\r\nHost: a\r\n\r\n'
            )
            await asyncio.sleep(0.2)
            draining = asyncio.create_task(server.drain())
            reading = asyncio.create_task(caller.read(0.5))
            await asyncio.sleep(0.8 + sent_after_s)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller.socket, _NEXT)
            await reading
            await draining
            return caller.received

    received = run_in_virtual_time(scenario())
    assert_that(received.count(b'last'), Equals(1))
