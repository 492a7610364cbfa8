"""Tests of the platform's client against workers in trouble."""

import asyncio

import msgspec
import pytest
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from persimmonhold.platform._upstream_client import PlatformUpstreamClient
from persimmonhold.web import (
    Address,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    parse_address,
)
from tests.raw_upstream import RawConnection, RawUpstream

_CHUNK = b'x' * 65_536
_CHUNK_COUNT = 1000


class EndlessWorker(ExchangeHandler):
    """Sends a body that does not end while its reader takes it."""

    def __init__(self) -> None:
        self.sent_chunks = 0

    async def serve(self, exchange: Exchange) -> None:
        """Send chunks until the connection is closed."""
        await exchange.start_response(200, ())
        for _ in range(_CHUNK_COUNT):
            await exchange.send_body_chunk(_CHUNK)
            self.sent_chunks += 1
            await asyncio.sleep(0)


@pytest.fixture
def worker() -> EndlessWorker:
    return EndlessWorker()


def test_report_without_end_is_not_kept_in_memory(
    worker: EndlessWorker, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        bounds = HttpBounds()
        any_port = Address('127.0.0.1', 0)
        async with HttpServer(any_port, worker, bounds) as server:
            client = PlatformUpstreamClient(any_port, 'vm1')
            read = await client.read_report('u1', str(server.address))
            client.close()
        assert_that(isinstance(read, Failed), Equals(True))

    module = 'persimmonhold.platform._upstream_client'
    monkeypatch.setattr(f'{module}._READ_TIMEOUT_S', 30)
    asyncio.run(scenario())
    # The rest fits into the buffers of the connection.
    assert_that(worker.sent_chunks, LessThan(300))


class CopyingList:
    """A list of two pages, which writes an earlier page once more.

    `copied` is the page that is written before the response to the request
    `at`, counted from 1, if that comes on the connection of an earlier page.
    """

    def __init__(self, copied: int, at: int) -> None:
        self.copied = copied
        self.at = at
        self.arrivals: list[int] = []

    async def serve(self, connection: RawConnection) -> None:
        """Respond with a page, after the copy if it is due."""
        is_kept = connection.number in self.arrivals
        self.arrivals.append(connection.number)
        if is_kept and len(self.arrivals) == self.at:
            await _write_page(connection, self.copied)
        is_second = connection.target.endswith('page-token=p2')
        await _write_page(connection, 1 + is_second)


async def _write_page(connection: RawConnection, number: int) -> None:
    entry = {
        'id': f'u{number}',
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'state': 'ready',
    }
    page = msgspec.json.encode({
        'instances': [entry],
        'next-token': 'p2' if number == 1 else None,
    })
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(page)}\r\n\r\n'
    await connection.write(head.encode('ascii') + page)


@pytest.mark.parametrize(
    ('copied', 'at'),
    [
        pytest.param(1, 2, id='first_for_second'),
        pytest.param(2, 3, id='last_of_earlier_read'),
        pytest.param(1, 3, id='first_of_earlier_read'),
        pytest.param(1, 4, id='first_for_second_of_later_read'),
    ],
)
def test_copy_of_a_page_does_not_stand_for_another_page(
    copied: int, at: int
) -> None:
    """Upstreams on a page that was not read would be dropped as gone."""
    pages = CopyingList(copied, at)

    async def scenario() -> None:
        upstream = RawUpstream('list', pages.serve, keeps_connections=True)
        async with await upstream.start():
            address = parse_address(upstream.address).unwrap()
            client = PlatformUpstreamClient(address, 'vm1')
            reads = [await client.read_list() for _ in range(3)]
            client.close()
        for read in reads:
            names = {one.name for one in read.unwrap()}
            assert_that(names, Equals({'u1', 'u2'}))

    asyncio.run(scenario())
