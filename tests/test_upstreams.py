"""Connections to upstreams and their reports."""

import asyncio
import random
from collections.abc import Iterable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.catalogue import Accelerator, UpstreamEntry
from persimmonhold.messages import CacheEventPage, LoadReport
from persimmonhold.settings import PlatformSettings
from persimmonhold.upstreams import (
    ConnectionPool,
    UpstreamObserver,
    UpstreamPollers,
)
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
)
from tests.entry_builders import IDLE_LOAD_REPORT

_ANY = Address('127.0.0.1', 0)
_TIMEOUT_S = 5.0


class _Platform(ExchangeHandler):
    """Upstreams and the platform's list at one address."""

    def __init__(self) -> None:
        self.leaving = False
        self.listed = 'live'
        self.boot_id = 'first'
        self.last = 7
        self.asked: list[str] = []
        self.address = _ANY

    async def serve(self, exchange: Exchange) -> None:
        """Answer reports."""
        self.asked.append(exchange.head.target)
        documents: dict[str, object] = {
            '/load': {'leaving': self.leaving},
            '/cache-events': {'boot_id': self.boot_id, 'last': self.last},
            '/vms': {
                'vms': [{'address': str(self.address), 'state': self.listed}],
            },
        }
        await exchange.respond_json(200, documents[exchange.head.path])


class _Observer(UpstreamObserver):
    """Remembers what it was told."""

    def __init__(self, address: Address, is_engine: bool) -> None:
        accelerator = Accelerator(name='a0', memory_bytes=1)
        self.upstream = UpstreamEntry(
            name='one',
            owner='levy',
            address=str(address),
            failure_domain='fd1',
            accelerators=(accelerator,) if is_engine else (),
        )
        self.leaving = False
        self.unreachable = 0
        self.pages: list[CacheEventPage] = []
        self.reports: list[LoadReport] = []

    def polled_upstreams(self) -> Iterable[UpstreamEntry]:
        """Return the one upstream."""
        return (self.upstream,)

    def upstream_addresses(self) -> dict[str, str]:
        """Return its address."""
        return {self.upstream.address: 'one'}

    def observe_load(self, upstream: str, report: LoadReport) -> None:
        """Remember a report."""
        self.reports.append(report)

    def observe_leaving(self, upstream: str, leaving: bool) -> None:
        """Remember whether it leaves."""
        self.leaving = leaving

    def observe_unreachable(self, upstream: str) -> None:
        """Count refused connections."""
        self.unreachable += 1

    def observe_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
    ) -> None:
        """Remember a page."""
        self.pages.append(page)


def _pollers(observer: _Observer, vm_list: str = '') -> UpstreamPollers:
    return UpstreamPollers(
        observer,
        PlatformSettings(vm_list=vm_list),
        random.Random(1),
    )


@pytest.mark.parametrize(
    ('own', 'listed', 'expected'),
    [
        (False, 'live', False),
        (True, 'live', True),
        (False, 'leaving', True),
        (True, 'leaving', True),
    ],
)
def test_one_sign_of_leaving_is_enough_and_passes(
    own: bool,
    listed: str,
    expected: bool,
) -> None:
    async def scenario() -> tuple[bool, bool]:
        platform = _Platform()
        async with HttpServer(_ANY, platform, HttpBounds()) as server:
            platform.address = server.address
            platform.leaving = own
            platform.listed = listed
            observer = _Observer(server.address, is_engine=False)
            pollers = _pollers(observer, str(server.address))
            await pollers.poll_once(with_cache_events=False)
            await pollers.poll_list_once()
            seen = observer.leaving
            platform.leaving = False
            platform.listed = 'live'
            await pollers.poll_list_once()
            await pollers.poll_once(with_cache_events=False)
            return seen, observer.leaving

    assert_that(asyncio.run(scenario()), Equals((expected, False)))


def test_refused_connection_is_told() -> None:
    async def scenario() -> int:
        async with HttpServer(_ANY, _Platform(), HttpBounds()) as server:
            address = server.address
        observer = _Observer(address, is_engine=False)
        await _pollers(observer).poll_once(with_cache_events=False)
        return observer.unreachable

    assert_that(asyncio.run(scenario()), Equals(1))


def test_cache_events_go_on_from_the_last_page_and_restart_with_the_engine() -> (
    None
):
    async def scenario() -> list[str]:
        platform = _Platform()
        async with HttpServer(_ANY, platform, HttpBounds()) as server:
            observer = _Observer(server.address, is_engine=True)
            pollers = _pollers(observer)
            for boot_id in ('first', 'first', 'second', 'second'):
                platform.boot_id = boot_id
                await pollers.poll_once(with_cache_events=True)
            return [one for one in platform.asked if 'cache' in one]

    asked = asyncio.run(scenario())
    cursors = [int(target.partition('=')[2]) for target in asked]
    assert_that(cursors, Equals([0, 7, 7, 0]))


def test_malformed_report_is_not_passed_on() -> None:
    async def scenario() -> _Observer:
        async with HttpServer(_ANY, _Platform(), HttpBounds()) as server:
            observer = _Observer(server.address, is_engine=True)
            await _pollers(observer).poll_once(with_cache_events=False)
            return observer

    observer = asyncio.run(scenario())
    assert_that(observer.reports, Equals([]))
    assert_that(observer.unreachable, Equals(0))


class _Reporting(ExchangeHandler):
    """Answers every request with a report."""

    async def serve(self, exchange: Exchange) -> None:
        """Answer."""
        await exchange.respond_json(200, IDLE_LOAD_REPORT)


async def _answered(address: Address, target: str) -> ClientConnection:
    connected = await ClientConnection.connect(address, _TIMEOUT_S)
    connection = connected.unwrap()
    await connection.send(ClientRequest(method='GET', target=target))
    (await connection.receive_head()).unwrap()
    (await connection.receive_body()).unwrap()
    return connection


def test_pool_gives_out_quiet_connections_only() -> None:
    async def scenario() -> tuple[object, object, object]:
        async with HttpServer(_ANY, _Reporting(), HttpBounds()) as server:
            pool = ConnectionPool()
            kept = await _answered(server.address, '/')
            pool.put(kept, now=0)
            fresh = pool.take(server.address, now=1)
            assert_that(fresh is kept, Equals(True))
            pool.put(kept, now=1)
            old = pool.take(server.address, now=100)
            closed = await _answered(server.address, '/')
            pool.put(closed, now=100)
            # The peer's end arrives while the connection is idle.
            closed.eof_received()
            stale = pool.take(server.address, now=100)
            return old, stale, len(pool)

    assert_that(asyncio.run(scenario()), Equals((None, None, 0)))


def test_pool_is_bounded() -> None:
    async def scenario() -> tuple[int, int]:
        async with HttpServer(_ANY, _Reporting(), HttpBounds()) as server:
            pool = ConnectionPool()
            for _ in range(20):
                pool.put(await _answered(server.address, '/'), now=0)
            kept = len(pool)
            pool.prune(now=100)
            return kept, len(pool)

    assert_that(asyncio.run(scenario()), Equals((16, 0)))
