"""A stand-in upstream that can be made to fail."""

import asyncio
from types import MappingProxyType
from typing import Any, Final

from bench.soak._fault import FaultKind
from bench.soak._record import Record
from bench.soak._run import Run
from persimmonhold.platform import _names as names
from persimmonhold.web import (
    Address,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    encode_headers,
)

WORK_HEADER: Final = 'soak-work-ms'
EVENTS_HEADER: Final = 'soak-events'
GAP_HEADER: Final = 'soak-gap-ms'  # between events
_BODY_BYTES: Final = 3000
_SLOTS: Final = 3
_SLOW_S: Final = 4.0
_EVENT_GAP_MS: Final = 100
_LIMIT_PER_S: Final = '2'
_DRAIN_S: Final = 3.2
_DRAINS: Final = frozenset((FaultKind.drain, FaultKind.release))
_RESTARTS: Final = _DRAINS | {FaultKind.crash}
VERSIONS: Final = ('v1', 'v2')
_OTHER_VERSIONS: Final = MappingProxyType({'': '', 'v1': 'v2', 'v2': 'v1'})


class Upstream(ExchangeHandler):
    """Serves requests and records their runs.

    Each start adds an entry to `listed`, under a new name except after a release.
    `version` is that of its software, or empty if there are no releases.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        listed: list[dict[str, Any]],
        version: str = '',
    ) -> None:
        self.name = name
        self.version = version
        self.service = service
        self.record = record
        self.listed = listed
        self.fault: FaultKind | None = None
        self.entry: dict[str, Any] = {'born': 0}
        self.running = 0
        self.slots = _SLOTS
        self.domain = 'a'
        self.is_crashing = False
        self.bounds = HttpBounds()
        self.server = HttpServer(Address('127.0.0.1', 0), self, self.bounds)

    async def start(self, process_name: str = '') -> None:
        """Listen under a process name, by default a new one."""
        self.is_crashing = False
        self.server = HttpServer(Address('127.0.0.1', 0), self, self.bounds)
        await self.server.__aenter__()
        self.entry = self.describe()
        if process_name:
            self.entry['id'] = process_name
        self.listed.append(self.entry)

    def describe(self) -> dict[str, Any]:
        """Return the entry of a process that has just started."""
        born = self.entry['born'] + 1
        entry = {
            'id': f'i-{self.name}-{born}',
            'service': self.service,
            'address': str(self.server.address),
            'zone': self.domain,
            'state': 'ready',
            'slots': self.slots,
            'born': born,
        }
        if self.version:
            entry['version'] = self.version
        return entry

    async def close(self) -> None:
        """Break off all runs and stop listening, unless done before."""
        if self.is_crashing:
            return
        self.is_crashing = True
        await self.server.__aexit__(None, None, None)
        self.listed.remove(self.entry)

    async def suffer(self, kind: FaultKind, length_s: float) -> None:
        """Apply a fault for a time, unless another one applies."""
        if self.fault is not None:
            return
        self.fault = kind
        if kind in _DRAINS:
            self.entry['state'] = 'draining'
            await asyncio.sleep(_DRAIN_S)
        process_name = self.entry['id'] if kind is FaultKind.release else ''
        if kind in _RESTARTS:
            await self.close()
        await asyncio.sleep(length_s)
        if kind is FaultKind.release:
            self.version = _OTHER_VERSIONS[self.version]
        if kind in _RESTARTS:
            await self.start(process_name)
        self.fault = None

    async def serve(self, exchange: Exchange) -> None:
        """Serve a request, or refuse it without running it."""
        await exchange.read_body()
        head = exchange.head
        is_full = self.running >= self.slots or self.fault is FaultKind.refusing
        if head.header(names.EXPECTED_PROCESS) == self.entry['id']:
            status = 503 if is_full else 200
        else:
            status = 421
        if status > 200:
            await refuse(exchange, status)
        else:
            loop = asyncio.get_running_loop()
            run = Run(self.entry['id'], loop.time())
            self.record.runs[head.header(names.REQUEST_ID)].append(run)
            self.running += 1
            try:
                await self._run(exchange, run)
            finally:
                self._end_run(run, loop.time())

    def _end_run(self, run: Run, now: float) -> None:
        self.running -= 1
        run.ended_at = now
        run.has_broken = run.has_broken or self.is_crashing

    async def _run(self, exchange: Exchange, run: Run) -> None:
        head = exchange.head
        slow_s = _SLOW_S * (self.fault is FaultKind.slow)
        await asyncio.sleep(int(head.header(WORK_HEADER)) / 1000 + slow_s)
        if self.fault is FaultKind.closing:
            run.has_broken = True
            exchange.abort_connection()
            return
        request_id = head.header(names.REQUEST_ID)
        own = {names.REQUEST_ID: request_id, names.SIGNATURE: request_id}
        if self.entry['state'] == 'draining':
            own[names.LEAVING] = '1'
        if self.fault is FaultKind.limited:
            own[names.REQUEST_LIMIT] = _LIMIT_PER_S
        if head.header(EVENTS_HEADER) == '0':
            body = build_body(request_id)
            await exchange.respond(200, body, headers=encode_headers(own))
            return
        own['content-type'] = 'text/event-stream'
        await exchange.start_response(200, encode_headers(own))
        gap_ms = int(head.header(GAP_HEADER) or _EVENT_GAP_MS)
        first = int(head.header(names.RESUME_AFTER) or 0) + 1
        for number in range(first, int(head.header(EVENTS_HEADER)) + 1):
            event = build_event(request_id, number, self.version)
            await exchange.send_body_chunk(event)
            await asyncio.sleep(gap_ms / 1000)
        await exchange.finish_response()


async def refuse(exchange: Exchange, status: int) -> None:
    """Answer that a request was not run."""
    not_run = encode_headers({
        names.NOT_RUN: '1',
        names.REQUEST_ID: exchange.head.header(names.REQUEST_ID),
    })
    await exchange.respond_json(status, {}, not_run)


def build_body(request_id: str) -> bytes:
    """Return the body of a response that is no stream."""
    return request_id.encode('ascii').ljust(_BODY_BYTES, b'.')


def build_event(request_id: str, number: int, version: str) -> bytes:
    """Return an event of a stream, which names the version of the upstream."""
    text = f'id: {number}\ndata: {request_id} {version}\n\n'
    return text.encode('ascii')
