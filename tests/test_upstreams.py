"""Tests of the connection pool and of polling upstreams and the platform."""

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


class _PlatformHandler(ExchangeHandler):
    """Serves an upstream and the platform's VM list at one address."""

    def __init__(self) -> None:
        self.leaving = False
        self.listed_state = 'live'
        self.boot_id = 'first'
        self.last = 7
        self.requested_targets: list[str] = []
        self.address = _ANY

    async def serve(self, exchange: Exchange) -> None:
        """Respond with the document of the requested path."""
        self.requested_targets.append(exchange.head.target)
        documents: dict[str, object] = {
            '/load': {'leaving': self.leaving},
            '/cache-events': {'boot_id': self.boot_id, 'last': self.last},
            '/vms': {
                'vms': [
                    {'address': str(self.address), 'state': self.listed_state},
                ],
            },
        }
        await exchange.respond_json(200, documents[exchange.head.path])


class _RecordingObserver(UpstreamObserver):
    """Records the reports that it receives."""

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
        self.refused_connections = 0
        self.pages: list[CacheEventPage] = []
        self.reports: list[LoadReport] = []

    def select_polled_upstreams(self) -> Iterable[UpstreamEntry]:
        """Return the one upstream."""
        return (self.upstream,)

    def upstream_names_by_address(self) -> dict[str, str]:
        """Return the name of the one upstream by its address."""
        return {self.upstream.address: 'one'}

    def apply_load_report(self, upstream: str, report: LoadReport) -> None:
        """Record a load report."""
        self.reports.append(report)

    def update_leaving_state(self, upstream: str, is_leaving: bool) -> None:
        """Record whether the upstream is leaving."""
        self.leaving = is_leaving

    def record_refused_connection(self, upstream: str) -> None:
        """Count refused connections."""
        self.refused_connections += 1

    def apply_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
    ) -> None:
        """Record a page of cache events."""
        self.pages.append(page)


def _pollers(
    observer: _RecordingObserver,
    vm_list: str = '',
) -> UpstreamPollers:
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
        platform = _PlatformHandler()
        async with HttpServer(_ANY, platform, HttpBounds()) as server:
            platform.address = server.address
            platform.leaving = own
            platform.listed_state = listed
            observer = _RecordingObserver(server.address, is_engine=False)
            pollers = _pollers(observer, str(server.address))
            await pollers.poll_upstreams_once(with_cache_events=False)
            await pollers.poll_vm_list_once()
            seen = observer.leaving
            platform.leaving = False
            platform.listed_state = 'live'
            await pollers.poll_vm_list_once()
            await pollers.poll_upstreams_once(with_cache_events=False)
            return seen, observer.leaving

    assert_that(asyncio.run(scenario()), Equals((expected, False)))


def test_refused_connection_is_reported() -> None:
    async def scenario() -> int:
        async with HttpServer(_ANY, _PlatformHandler(), HttpBounds()) as server:
            address = server.address
        observer = _RecordingObserver(address, is_engine=False)
        await _pollers(observer).poll_upstreams_once(with_cache_events=False)
        return observer.refused_connections

    assert_that(asyncio.run(scenario()), Equals(1))


def test_cache_events_go_on_from_the_last_page_and_restart_with_the_engine() -> (
    None
):
    async def scenario() -> list[str]:
        platform = _PlatformHandler()
        async with HttpServer(_ANY, platform, HttpBounds()) as server:
            observer = _RecordingObserver(server.address, is_engine=True)
            pollers = _pollers(observer)
            for boot_id in ('first', 'first', 'second', 'second'):
                platform.boot_id = boot_id
                await pollers.poll_upstreams_once(with_cache_events=True)
            return [one for one in platform.requested_targets if 'cache' in one]

    asked = asyncio.run(scenario())
    cursors = [int(target.partition('=')[2]) for target in asked]
    assert_that(cursors, Equals([0, 7, 7, 0]))


def test_malformed_report_is_not_passed_on() -> None:
    async def scenario() -> _RecordingObserver:
        async with HttpServer(_ANY, _PlatformHandler(), HttpBounds()) as server:
            observer = _RecordingObserver(server.address, is_engine=True)
            await _pollers(observer).poll_upstreams_once(
                with_cache_events=False
            )
            return observer

    observer = asyncio.run(scenario())
    assert_that(observer.reports, Equals([]))
    assert_that(observer.refused_connections, Equals(0))


class _ReportHandler(ExchangeHandler):
    """Responds to every request with a load report."""

    async def serve(self, exchange: Exchange) -> None:
        """Respond with the report."""
        await exchange.respond_json(200, IDLE_LOAD_REPORT)


async def _open_used_connection(
    address: Address,
    target: str,
) -> ClientConnection:
    connected = await ClientConnection.connect(address, _TIMEOUT_S)
    connection = connected.unwrap()
    await connection.send_request(ClientRequest(method='GET', target=target))
    (await connection.receive_head()).unwrap()
    (await connection.receive_body()).unwrap()
    return connection


def test_pool_gives_out_quiet_connections_only() -> None:
    async def scenario() -> tuple[object, object, object]:
        async with HttpServer(_ANY, _ReportHandler(), HttpBounds()) as server:
            pool = ConnectionPool()
            kept = await _open_used_connection(server.address, '/')
            pool.release(kept, now=0)
            fresh = pool.acquire(server.address, now=1)
            assert_that(fresh is kept, Equals(True))
            pool.release(kept, now=1)
            old = pool.acquire(server.address, now=100)
            closed = await _open_used_connection(server.address, '/')
            pool.release(closed, now=100)
            # The peer closes its side while the connection is idle.
            closed.eof_received()
            stale = pool.acquire(server.address, now=100)
            return old, stale, len(pool)

    assert_that(asyncio.run(scenario()), Equals((None, None, 0)))


def test_pool_is_bounded() -> None:
    async def scenario() -> tuple[int, int]:
        async with HttpServer(_ANY, _ReportHandler(), HttpBounds()) as server:
            pool = ConnectionPool()
            for _ in range(20):
                pool.release(
                    await _open_used_connection(server.address, '/'),
                    now=0,
                )
            kept = len(pool)
            pool.close_unusable(now=100)
            return kept, len(pool)

    assert_that(asyncio.run(scenario()), Equals((16, 0)))
