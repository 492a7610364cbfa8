"""Tests of the memory budget: its limits, and what is evicted first."""

import asyncio
from typing import Final, final

import pytest
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
from persimmonhold.web import (
    Address,
    BufferShare,
    ClientConnection,
    ClientRequest,
    EvictionCause,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    MemoryBudget,
)
from persimmonhold.web._buffer_holder import BufferHolder
from persimmonhold.web._head_field_counter import HeadFieldCounter
from tests.platform_fakes import until

_ANY: Final = Address('127.0.0.1', 0)
_LIMIT: Final = 1000
_LARGE_BYTES: Final = 1_000_000
_HOST: Final = b'Host: a\r\n'
_READ_BYTES: Final = 65_536


@final
class _Holder(BufferHolder):
    """Holds a share; `since` is when it began."""

    def __init__(
        self, budget: MemoryBudget, since: float, is_waiting: bool = True
    ) -> None:
        self.share = BufferShare(budget)
        self.since = since
        self.waits = is_waiting
        self.is_closed = False

    @property
    def is_waiting(self) -> bool:
        """Whether it may be closed for a new connection."""
        return self.waits

    def compute_excess(self, now: float) -> float:
        """Return the bytes times the age of one that may be evicted."""
        return self.share.size_bytes * (now - self.since) * self.waits

    def evict(self) -> None:
        """Release the share."""
        self.is_closed = True
        self.share.resize(0)

    def close_at_once(self) -> None:
        """Release the share."""
        self.evict()


@final
class _Handler(ExchangeHandler):
    """Responds by the path; counts the requests whose response began."""

    def __init__(self) -> None:
        self.began = 0
        self.held_before_read = 0
        self.accepted = asyncio.Event()

    async def serve(self, exchange: Exchange) -> None:
        """Respond, after `accepted` if the path says so."""
        self.began += 1
        if exchange.head.path == '/large':
            exchange.respond_nowait(200, bytes(_LARGE_BYTES))
            return
        if exchange.head.path == '/wait':
            await self.accepted.wait()
            self.held_before_read = exchange.body_share.size_bytes
        if exchange.head.path == '/refuse':
            await exchange.respond(404)
            return
        body = await exchange.read_body()
        status = 200 if exchange.body_refusal is None else 503
        await exchange.respond(status, b'%d' % len(body.value_or(b'')))


def _in_loop(budget: MemoryBudget, holders: list[_Holder], needed: int) -> bool:
    """Add holders of a third each, then reserve more, 10 s later."""

    async def scenario() -> bool:
        for holder in holders:
            assert_that(budget.try_connect('server', holder), Equals(True))
        for holder in holders:
            holder.share.resize(300)
        await asyncio.sleep(10)
        return budget.try_reserve(needed)

    return run_in_virtual_time(scenario())


def test_largest_product_of_bytes_and_time_is_evicted_first() -> None:
    causes: list[EvictionCause] = []
    budget = MemoryBudget(_LIMIT)
    budget.on_eviction = causes.append
    young, old, served = (
        _Holder(budget, 5.0),
        _Holder(budget, 1.0),
        _Holder(budget, 0.0, is_waiting=False),
    )
    assert_that(_in_loop(budget, [young, old, served], 400), Equals(True))
    closed = [one.is_closed for one in (young, old, served)]
    assert_that(closed, Equals([False, True, False]))
    assert_that(causes, Equals([EvictionCause.memory]))
    assert_that(budget.reserved_bytes, Equals(1000))


def test_request_is_refused_if_nothing_may_be_evicted() -> None:
    budget = MemoryBudget(_LIMIT)
    served = [_Holder(budget, 0.0, is_waiting=False) for _ in range(3)]
    assert_that(_in_loop(budget, served, 400), Equals(False))
    assert_that(budget.reserved_bytes, Equals(900))


def test_requester_that_holds_the_most_is_refused_itself() -> None:
    async def scenario() -> tuple[bool, bool]:
        budget = MemoryBudget(_LIMIT)
        large, small = _Holder(budget, 0.0), _Holder(budget, 0.0)
        for holder in (large, small):
            budget.try_connect('server', holder)
        large.share.resize(800)
        small.share.resize(100)
        await asyncio.sleep(1)
        return large.share.try_resize(1000, large), small.is_closed

    assert_that(run_in_virtual_time(scenario()), Equals((False, False)))


def test_connection_of_the_largest_server_that_waited_longest_is_closed() -> (
    None
):
    budget = MemoryBudget(_LIMIT, max_connections=4)
    crowd = [_Holder(budget, 0.0) for _ in range(3)]
    caller, newcomer = _Holder(budget, 0.0), _Holder(budget, 0.0)
    budget.try_connect('callers', caller)
    for holder in crowd:
        budget.try_connect('readiness', holder)
    budget.record_finish('readiness', crowd[0])
    assert_that(budget.try_connect('callers', newcomer), Equals(True))
    closed = [one.is_closed for one in (caller, *crowd)]
    assert_that(closed, Equals([False, False, True, False]))


def test_connection_is_refused_if_all_are_served() -> None:
    budget = MemoryBudget(_LIMIT, max_connections=1)
    budget.try_connect('callers', _Holder(budget, 0.0, is_waiting=False))
    refused = _Holder(budget, 0.0)
    assert_that(budget.try_connect('callers', refused), Equals(False))
    budget.disconnect('callers', refused)
    assert_that(budget.connection_count, Equals(1))


def test_budget_has_room_for_bodies_of_the_largest_size() -> None:
    budget = MemoryBudget(_LIMIT)
    budget.admit_bodies(_LARGE_BYTES)
    assert_that(budget.try_reserve(_LARGE_BYTES), Equals(True))


@pytest.mark.parametrize('size', [1, 2, 3, 7, 1000])
@pytest.mark.parametrize('end', [b'\r\n', b'\n'])
def test_fields_are_counted_however_the_head_is_cut(
    size: int, end: bytes
) -> None:
    head = b'POST / HTTP/1.1' + end + (b'a: b' + end) * 40 + end
    whole = head + b'\n' * 500
    counter = HeadFieldCounter()
    count = 0
    for start in range(0, len(head), size):
        count = counter.count(whole[start : min(start + size, len(head))])
    assert_that(count, Equals(40))


async def _exchange_bytes(server: HttpServer, sent: bytes) -> bytes:
    """Send bytes and return all that is received until the server closes."""
    reader, writer = await asyncio.open_connection(
        server.address.host, server.address.port
    )
    writer.write(sent)
    received = await reader.read()
    writer.close()
    return received


def test_head_with_too_many_fields_is_refused() -> None:
    """A head of 16 KB with 4,000 fields took 0.7 MB and was served."""

    async def scenario() -> tuple[bytes, int]:
        handler = _Handler()
        bounds = HttpBounds(large_head_status=431)
        async with HttpServer(_ANY, handler, bounds) as server:
            head = b'GET / HTTP/1.1\r\n' + _HOST + b'a:\r\n' * 600 + b'\r\n'
            return await _exchange_bytes(server, head), handler.began

    received, began = asyncio.run(scenario())
    assert_that(received, StartsWith(b'HTTP/1.1 431'))
    assert_that(began, Equals(0))


def test_pipelined_request_waits_until_the_last_response_is_read() -> None:
    """Responses that nobody read filled the memory of the process."""

    async def scenario() -> tuple[int, int, bytes]:
        handler = _Handler()
        count = 40
        async with HttpServer(_ANY, handler, HttpBounds()) as server:
            reader, writer = await asyncio.open_connection(
                server.address.host, server.address.port, limit=1024
            )
            request = b'GET /large HTTP/1.1\r\n' + _HOST + b'\r\n'
            writer.write(request * (count - 1))
            writer.write(b'GET /large HTTP/1.0\r\n' + _HOST + b'\r\n')
            await asyncio.sleep(0.5)
            unread, held = handler.began, server.budget.reserved_bytes
            received = await reader.read()
            writer.close()
            assert_that(held, LessThan(3 * _LARGE_BYTES))
            assert_that(held, GreaterThan(_READ_BYTES))
            return unread, handler.began, received

    unread, began, received = asyncio.run(scenario())
    assert_that(unread, LessThan(30))
    assert_that(began, Equals(40))
    assert_that(received.split(b'HTTP/1.1 200'), HasLength(41))


@pytest.mark.parametrize('is_chunked', [False, True])
def test_long_body_is_received_only_when_its_handler_asks(
    is_chunked: bool,
) -> None:
    """A body was buffered before its request could be accepted."""

    async def scenario() -> tuple[int, bytes]:
        handler = _Handler()
        framing = b'Content-Length: %d\r\n' % _LARGE_BYTES
        body = bytes(_LARGE_BYTES)
        if is_chunked:
            framing = b'Transfer-Encoding: chunked\r\n'
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (_LARGE_BYTES, body)
        head = b'POST /wait HTTP/1.1\r\nConnection: close\r\n' + _HOST
        async with HttpServer(_ANY, handler, HttpBounds()) as server:
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, handler.accepted.set)
            sent = head + framing + b'\r\n' + body
            received = await _exchange_bytes(server, sent)
        return handler.held_before_read, received

    held, received = asyncio.run(scenario())
    assert_that(held, Equals(0))
    assert_that(received, StartsWith(b'HTTP/1.1 200'))
    assert_that(received, Contains(b'%d' % _LARGE_BYTES))


def test_refused_request_is_not_asked_to_continue() -> None:
    async def scenario() -> bytes:
        async with HttpServer(_ANY, _Handler(), HttpBounds()) as server:
            head = b'POST /refuse HTTP/1.1\r\nExpect: 100-continue\r\n' + _HOST
            return await _exchange_bytes(
                server, head + b'Content-Length: 100000\r\n\r\n'
            )

    received = asyncio.run(scenario())
    assert_that(received, StartsWith(b'HTTP/1.1 404'))
    assert_that(received, Not(Contains(b'HTTP/1.1 100')))


def test_evicted_body_is_refused_and_released() -> None:
    async def scenario() -> tuple[bytes, int]:
        handler = _Handler()
        async with HttpServer(_ANY, handler, HttpBounds()) as server:
            head = b'POST / HTTP/1.1\r\n' + _HOST
            size = b'Content-Length: 200000\r\n\r\n'
            sending = asyncio.create_task(
                _exchange_bytes(server, head + size + bytes(100_000))
            )
            await until(lambda: server.budget.reserved_bytes > 100_000)
            server.budget.limit_bytes = 150_000
            assert_that(server.budget.try_reserve(100_000), Equals(True))
            server.budget.release(100_000)
            received = await sending
            await until(lambda: not server.connection_count)
            return received, server.budget.reserved_bytes

    received, left = asyncio.run(scenario())
    assert_that(received, StartsWith(b'HTTP/1.1 503'))
    assert_that(left, Equals(0))


def test_request_is_written_as_its_upstream_reads() -> None:
    """The whole body was copied to the buffer of a connection."""

    async def scenario() -> tuple[int, int]:
        paused: list[asyncio.StreamWriter] = []

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            paused.append(writer)

        server = await asyncio.start_server(accept, '127.0.0.1', 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        opened = await ClientConnection.connect(Address('127.0.0.1', port), 1)
        connection = opened.unwrap()
        size = 40 * _LARGE_BYTES
        request = ClientRequest(method='POST', target='/', body=bytes(size))
        sending = asyncio.create_task(connection.send_request(request))
        await asyncio.sleep(0.3)
        written = connection.bytes_written
        connection.close()
        await sending
        for writer in paused:
            writer.close()
        server.close()
        return written, size

    written, size = asyncio.run(scenario())
    assert_that(written, GreaterThan(0))
    assert_that(written, LessThan(size))
