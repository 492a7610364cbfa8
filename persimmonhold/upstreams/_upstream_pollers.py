"""Polling of upstreams for their load and of the platform for its VM list.

Only the upstreams that this entry uses are polled, each at most once per
interval and a limited number at the same time. Jitter keeps entries from
polling in step.
"""

import asyncio
import random
from collections.abc import Coroutine
from types import TracebackType
from typing import Final, Self, TypeVar, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold._json import decode_json
from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import CacheEventPage, LoadReport
from persimmonhold.settings import PlatformSettings
from persimmonhold.upstreams._connection_pool import ConnectionPool
from persimmonhold.upstreams._observer import UpstreamObserver
from persimmonhold.upstreams._service_state import ServiceState
from persimmonhold.upstreams._vm_list import VmList
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    fetch_on_connection,
    parse_address,
)

_MAX_BODY_BYTES: Final = 4_194_304  # the largest reply of an engine
_MS_PER_S: Final = 1000
_TIMEOUT_S: Final = 1.0
_JITTER_RATIO: Final = 0.2  # intervals vary by up to 10 % in each direction
_MAX_CONCURRENT_POLLS: Final = 16
_LOAD_POLLS_PER_CACHE_POLL: Final = 4
_VM_LIST_INTERVAL_S: Final = 1.0
_OK: Final = 200
_DocumentT = TypeVar('_DocumentT')


@final
class UpstreamPollers:
    """Owns the polling tasks of one entry."""

    __slots__ = (
        '_event_cursors',
        '_leaving_sources',
        '_observer',
        '_poll_slots',
        '_pool',
        '_rng',
        '_settings',
        '_tasks',
    )

    def __init__(
        self,
        observer: UpstreamObserver,
        settings: PlatformSettings,
        rng: random.Random,
    ) -> None:
        """Create pollers that pass what they read to `observer`."""
        self._observer = observer
        self._settings = settings
        self._rng = rng
        self._pool = ConnectionPool()
        self._poll_slots = asyncio.Semaphore(_MAX_CONCURRENT_POLLS)
        self._tasks: list[asyncio.Task[None]] = []
        self._event_cursors: dict[str, tuple[str, int]] = {}
        self._leaving_sources: dict[str, set[str]] = {}

    @property
    def tasks(self) -> tuple[asyncio.Task[None], ...]:
        """The polling tasks; they run until the context is exited."""
        return tuple(self._tasks)

    async def __aenter__(self) -> Self:
        """Start polling."""
        self._start_task(self._poll_upstreams())
        if self._settings.vm_list:
            self._start_task(self._poll_vm_list())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop polling and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pool.close()

    async def poll_upstreams_once(self, with_cache_events: bool) -> None:
        """Poll every upstream that this entry uses once.

        `with_cache_events` also fetches the prefix cache events of engines.
        """
        upstreams = tuple(self._observer.select_polled_upstreams())
        known = {upstream.name for upstream in upstreams}
        for name in self._event_cursors.keys() - known:
            self._event_cursors.pop(name)
        await asyncio.gather(
            *(self._poll_upstream(one, with_cache_events) for one in upstreams),
        )
        self._pool.close_unusable(_now())

    async def poll_vm_list_once(self) -> None:
        """Poll the VM list of the platform once.

        Passes on for each listed upstream whether it is leaving; a list that
        cannot be fetched changes nothing.
        """
        vm_list = self._settings.vm_list
        listed = await self._fetch_document(vm_list, '/vms', VmList)
        if isinstance(listed, Failed):
            return
        names = self._observer.upstream_names_by_address()
        for vm in listed.unwrap().vms:
            name = names.get(vm.address)
            if name:
                self._update_leaving(name, 'list', vm.is_leaving)

    def _start_task(self, polling: Coroutine[None, None, None]) -> None:
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(polling))

    async def _poll_upstreams(self) -> None:
        interval_s = self._settings.poll_interval_ms / _MS_PER_S
        polls = 0
        while True:
            await self.poll_upstreams_once(
                polls % _LOAD_POLLS_PER_CACHE_POLL == 0
            )
            polls += 1
            await asyncio.sleep(self._add_jitter(interval_s))

    async def _poll_vm_list(self) -> None:
        while True:
            await self.poll_vm_list_once()
            await asyncio.sleep(self._add_jitter(_VM_LIST_INTERVAL_S))

    def _add_jitter(self, interval_s: float) -> float:
        return interval_s * (1 + _JITTER_RATIO * (self._rng.random() - 0.5))

    async def _poll_upstream(
        self,
        upstream: UpstreamEntry,
        with_cache_events: bool,
    ) -> None:
        async with self._poll_slots:
            if not upstream.is_engine:
                await self._poll_service(upstream)
                return
            await self._poll_load(upstream)
            if with_cache_events:
                await self._poll_cache_events(upstream)

    async def _poll_service(self, upstream: UpstreamEntry) -> None:
        state = await self._fetch_document(
            upstream.address, '/load', ServiceState
        )
        if isinstance(state, Failed):
            self._report_refused_connection(upstream.name, state.failure())
        else:
            self._update_leaving(upstream.name, 'own', state.unwrap().leaving)

    async def _poll_load(self, upstream: UpstreamEntry) -> None:
        report = await self._fetch_document(
            upstream.address, '/load', LoadReport
        )
        if isinstance(report, Failed):
            self._report_refused_connection(upstream.name, report.failure())
        else:
            self._observer.apply_load_report(upstream.name, report.unwrap())

    async def _poll_cache_events(self, upstream: UpstreamEntry) -> None:
        boot_id, after = self._event_cursors.get(upstream.name, ('', 0))
        target = f'/cache-events?after={after}'
        fetched = await self._fetch_document(
            upstream.address,
            target,
            CacheEventPage,
        )
        if isinstance(fetched, Failed):
            return
        page = fetched.unwrap()
        self._event_cursors[upstream.name] = (page.boot_id, page.last)
        if boot_id and boot_id != page.boot_id and after:
            # The engine restarted: the cursor counted events of its earlier
            # run, so the next poll reads from the first event again.
            self._event_cursors[upstream.name] = (page.boot_id, 0)
        self._observer.apply_cache_events(upstream.name, page)

    def _report_refused_connection(
        self,
        upstream: str,
        failure: Failure,
    ) -> None:
        if failure.kind is FailureKind.connect_failed:
            self._observer.record_refused_connection(upstream)

    def _update_leaving(
        self,
        upstream: str,
        source: str,
        is_leaving: bool,
    ) -> None:
        """Store what a source says, and pass the result to the observer.

        An upstream is leaving if at least one source says so. The
        sources are the VM list (`list`) and the upstream itself (`own`).
        """
        sources = self._leaving_sources.setdefault(upstream, set())
        if is_leaving:
            sources.add(source)
        else:
            sources.discard(source)
        self._observer.update_leaving_state(upstream, bool(sources))

    async def _fetch_document(
        self,
        address: str,
        target: str,
        document_type: type[_DocumentT],
    ) -> Result[_DocumentT, Failure]:
        parsed = parse_address(address)
        if isinstance(parsed, Failed):
            return parsed
        peer = parsed.unwrap()
        connection = self._pool.acquire(peer, _now())
        if connection is None:
            opened = await ClientConnection.connect(peer, _TIMEOUT_S)
            if isinstance(opened, Failed):
                return opened
            connection = opened.unwrap()
        return await self._fetch_document_on(connection, target, document_type)

    async def _fetch_document_on(
        self,
        connection: ClientConnection,
        target: str,
        document_type: type[_DocumentT],
    ) -> Result[_DocumentT, Failure]:
        peer = connection.peer
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                body = await _get_body(connection, target)
        except TimeoutError:
            connection.close()
            return Failed(_build_failure(FailureKind.timed_out, peer, target))
        self._pool.release(connection, _now())
        if isinstance(body, Failed):
            return body
        return _decode(body.unwrap(), document_type, peer, target)


async def _get_body(
    connection: ClientConnection,
    target: str,
) -> Result[bytes, Failure]:
    request = ClientRequest(method='GET', target=target)
    fetched = await fetch_on_connection(connection, request, _MAX_BODY_BYTES)
    if isinstance(fetched, Failed):
        return fetched
    answer = fetched.unwrap()
    if answer.head.status == _OK:
        return Success(answer.body)
    return Failed(_build_failure(FailureKind.refused, connection.peer, target))


def _decode(
    body: bytes,
    document_type: type[_DocumentT],
    address: Address,
    target: str,
) -> Result[_DocumentT, Failure]:
    try:
        return Success(decode_json(body, document_type))
    except msgspec.DecodeError:
        return Failed(
            _build_failure(FailureKind.protocol_violation, address, target),
        )


def _build_failure(kind: FailureKind, address: Address, target: str) -> Failure:
    return Failure(kind=kind, step=f'GET {target}', peer=str(address))


def _now() -> float:
    return asyncio.get_running_loop().time()
