"""Errors in the connection of a caller end it, and are logged."""

import asyncio
import socket
import struct
from typing import Any, Final, final
from unittest.mock import patch

import eliot
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.entry._attempt_runner import AttemptRunner
from persimmonhold.forwarding._attempt_race import AttemptRace
from persimmonhold.forwarding._dispatched_attempt import DispatchedAttempt
from persimmonhold.forwarding._forward_attempt import ForwardAttempt
from persimmonhold.forwarding._forward_runner import ForwardRunner
from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.web import (
    Address,
    ClientConnection,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
)
from tests.entry_builders import EntryHarness, ScriptedUpstream
from tests.forwarding_harness import ForwardingHarness, run_with_harness
from tests.raw_upstream import PLAIN, RawConnection

_ANY: Final = Address('127.0.0.1', 0)
_TIMEOUT_S: Final = 5
_CALL: Final = (
    b'GET /chat/x HTTP/1.1\r\nHost: a.example\r\n'
    b'attempt-id: %s\r\ndeadline-ms: 3000\r\n\r\n'
)
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


@pytest.mark.parametrize('error', [RuntimeError, asyncio.CancelledError])
@pytest.mark.parametrize('is_after', [False, True])
@pytest.mark.parametrize(
    ('owner', 'step'),
    [
        (ForwardRunner, '_prepare'),
        (ForwardRunner, '_run_race'),
        (AttemptRace, 'run'),
        (DispatchedAttempt, 'run'),
        (ForwardAttempt, '_run_on_connection'),
        (ForwardAttempt, '_read_response'),
        (ClientConnection, 'send_request'),
        (ClientConnection, 'receive_head'),
        (ClientConnection, 'stream_body'),
    ],
)
def test_request_that_fails_before_its_response_is_answered(
    owner: type, step: str, is_after: bool, error: type[BaseException]
) -> None:
    """Its kept connection is not closed without a response."""
    original = getattr(owner, step)
    unhandled: list[dict[str, Any]] = []

    async def fail(*args: Any, **kwargs: Any) -> Any:
        if is_after:
            await original(*args, **kwargs)
        raise error

    async def serve(connection: RawConnection) -> None:
        await connection.respond(PLAIN, 'length', b'{}')

    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(serve, keeps_connections=True)
        address = harness.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(_CALL % b'f1')
        assert_that(await _read_status(reader), Equals(200))
        await reader.readexactly(len(b'{}'))
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        with patch.object(owner, step, fail):
            writer.write(_CALL % b'f2')
            assert_that(await _read_status(reader), Equals(500))
        writer.close()

    run_with_harness(scenario)


@pytest.mark.parametrize('method', [b'GET', b'HEAD', b'OPTIONS'])
@pytest.mark.parametrize(
    ('status', 'fields', 'body'),
    [
        (204, b'', b''),
        (204, b'content-length: 0', b''),
        (304, b'content-length: 20', b''),
        (205, b'transfer-encoding: chunked', b'0\r\n\r\n'),
        (200, b'content-length: 2\r\ncontent-length: 2', b'ok'),
        (200, b'content-length: 2, 2', b'ok'),
        (200, b'content-length: 2\r\nconnection: content-length', b'ok'),
        (200, b'content-length: 2\r\nupgrade: h2c', b'ok'),
        (200, b'content-length: 2\r\nx-folded: a\r\n b', b'ok'),
        (
            200,
            b'transfer-encoding: chunked\r\ntrailer: x-a',
            b'2;a=b\r\nok\r\n0\r\nx-a: b\r\n\r\n',
        ),
        (
            200,
            b'content-length: 5\r\ntransfer-encoding: chunked',
            b'2\r\nok\r\n0\r\n\r\n',
        ),
        (599, b'content-length: 2', b'ok'),
    ],
)
def test_odd_but_legal_response_leaves_the_connection_open(
    status: int, fields: bytes, body: bytes, method: bytes
) -> None:
    """A response that h11 refused to write would close it without one."""

    async def serve(connection: RawConnection) -> None:
        named = connection.headers[REQUEST_ID].encode('ascii')
        sent_body = b'' if method == b'HEAD' else body
        await connection.write(
            b'HTTP/1.1 103 Early\r\nlink: x\r\n\r\n'
            b'HTTP/1.1 %d Odd\r\nattempt-id: %s\r\nserver-signature: s1\r\n'
            b'%s\r\n\r\n%s' % (status, named, fields, sent_body)
        )

    async def scenario(harness: ForwardingHarness) -> None:
        await harness.start_raw_upstream(serve, keeps_connections=True)
        address = harness.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        call = _CALL.replace(b'GET', method)
        has_body = method != b'HEAD' and status not in {204, 304}
        for number in range(3):
            writer.write(call % b'f%d' % number)
            assert_that(await _read_status(reader), Equals(status))
            await reader.readexactly(
                len(b'ok') if has_body and b'ok' in body else 0
            )
        writer.close()

    run_with_harness(scenario)


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('is_whole', [False, True])
def test_refusal_before_the_end_of_a_body_says_that_the_connection_closes(
    is_chunked: bool, is_whole: bool
) -> None:
    """The next request on the connection got no answer."""
    body = b'x' * 100_000
    sent_bytes = 2 * len(body) if is_whole else 100
    framing = b'Content-Length: %d\r\n\r\n' % len(body)
    if is_chunked:
        framing = b'Transfer-Encoding: chunked\r\n\r\n'
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.clear_routes()
        address = harness.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        head = b'POST /chat/x HTTP/1.1\r\nHost: a.example\r\n'
        writer.write(head + framing + body[:sent_bytes])
        async with asyncio.timeout(_TIMEOUT_S):
            answer = await reader.read()
        writer.close()
        assert_that(answer, StartsWith(b'HTTP/1.1 503'))
        assert_that(answer.lower(), Contains(b'connection: close'))

    run_with_harness(scenario)


async def _read_status(reader: asyncio.StreamReader) -> int:
    async with asyncio.timeout(_TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
    return int(head.split(b' ')[1])


async def _answer(exchange: Exchange) -> None:
    await exchange.respond(200, b'{}')


@pytest.mark.parametrize(
    'step',
    ['_acquire_pooled_connection', '_judge_response', '_handle_body_end'],
)
def test_request_that_fails_within_the_entry_is_ended(step: str) -> None:
    """Own interface: its task is not that of the caller's connection."""
    upstream = ScriptedUpstream('engine-1', _answer)
    message = (
        b'POST /v1/completions HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 33\r\n\r\n{"model": "tutor", "prompt": "a"}'
    )

    async def scenario() -> bytes:
        async with EntryHarness(upstream) as harness:
            address = harness.entry.address
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            with patch.object(AttemptRunner, step, side_effect=RuntimeError):
                writer.write(message)
                async with asyncio.timeout(_TIMEOUT_S):
                    received = await reader.read()
            writer.close()
            return received

    received = asyncio.run(scenario())
    assert_that(received, StartsWith(b'HTTP/1.1 500'))
