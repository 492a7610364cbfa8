"""An entry on the platform that is told to stop, in virtual time.

Callers and upstreams use sockets on loopback.
"""

import asyncio
import itertools
from contextlib import AsyncExitStack, suppress
from types import TracebackType
from typing import Final, Self

import msgspec
from returns.result import Failure as Failed

from bench.memory_network import MemoryNetwork
from persimmonhold.control.machine import ControlStateMachine
from persimmonhold.control.shell import ControlNode, VmAgentRunner
from persimmonhold.fleet import HeldModel, UpstreamFacts
from persimmonhold.forwarding import (
    EntryStatus,
    FleetBounds,
    ForwardEntry,
    PlatformAdapter,
    ServedAddress,
)
from persimmonhold.messages import VmRecord
from persimmonhold.observability import Metrics
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.routes import RouteKind, RoutingDocument, ServiceSpec
from persimmonhold.settings import CallerSettings, Settings, VmSettings
from persimmonhold.web import (
    ClientConnection,
    ClientRequest,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    encode_headers,
)
from persimmonhold.web._client_connection import MAX_BODY_BYTES
from tests.entry_builders import ANY_PORT, FakeControlLink
from tests.fleet_builders import ENGINE, make_route, make_update
from tests.forwarding_harness import (
    Script,
    ScriptedUpstream,
    UnavailableUpstreamClient,
)

CLOSED: Final = 0  # stands for the status of a connection without a response
BROKEN: Final = -1  # a response that began and was broken off
_TIMEOUT_MS: Final = 60_000.0
_DEADLINE_MS: Final = 20_000


class StopAdapter(PlatformAdapter):
    """A platform with a grace period, that answers no call."""

    def __init__(self, grace_s: float) -> None:
        self.bounds = FleetBounds(grace_s=grace_s)
        self.dialect = PlatformDialect()
        self.upstream_client = UnavailableUpstreamClient()

    def create_entry_handlers(
        self, status: EntryStatus
    ) -> tuple[ServedAddress, ...]:
        """Serve no other addresses."""
        return ()

    def create_operator_handler(self, node: ControlNode) -> ExchangeHandler:
        """Fail, since the entry has no operators."""
        raise NotImplementedError


class CallerOutcome(msgspec.Struct, frozen=True):
    """What one caller got, and when; times are seconds of the loop."""

    status: int
    ended_at: float
    body: bytes = b''
    retry_after: str = ''


class StoppingEntry:
    """Owns an entry, its upstreams and the connections of its callers."""

    def __init__(self, grace_s: float = 8.0, slots: int = 1) -> None:
        self.stack = AsyncExitStack()
        self.process = AsyncExitStack()
        self.slots = slots
        self.grace_s = grace_s
        self.numbers = itertools.count(1)
        self.link = FakeControlLink(ControlStateMachine())
        self.upstreams: list[ScriptedUpstream] = []
        self.models: tuple[HeldModel, ...] = ()
        self.limit_per_s: float | None = None
        self.stop_task: asyncio.Task[None] | None = None
        self.stopped_at = 0.0
        transport = MemoryNetwork(1).create_transport('vm1')
        record = VmRecord(name='vm1', failure_domain='d1')
        self.entry = ForwardEntry(
            Settings(
                vm=VmSettings(name='vm1', failure_domain='d1'),
                callers=CallerSettings(address=str(ANY_PORT)),
            ),
            StopAdapter(grace_s),
            self.link,
            VmAgentRunner(record, {}, transport),
            transport,
            Metrics(),
            lambda: self.now,
        )

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def __aenter__(self) -> Self:
        self.set_route(RouteKind.idempotent)
        await self.process.enter_async_context(self.entry)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.stop_task is not None:
            self.stop_task.cancel()
        await self.process.aclose()
        await self.stack.aclose()

    def set_route(
        self,
        kind: RouteKind,
        *,
        resumable: bool = False,
        attempts: int = 1,
        is_engine: bool = False,
        timeout_ms: float = _TIMEOUT_MS,
    ) -> None:
        """Replace the routes by one route."""
        route = msgspec.structs.replace(
            make_route(kind, resumable=resumable, attempts=attempts),
            timeout_ms=timeout_ms,
            target_ms=5000,
        )
        engine = ENGINE if is_engine else None
        document = RoutingDocument(
            version=self.link.view.routes.version + 1,
            routes=(route,),
            services=(ServiceSpec(name='models', engine=engine),),
        )
        self.link.view = msgspec.structs.replace(
            self.link.view, routes=document
        )
        self.link.view_changed.set()

    async def start_upstream(self, script: Script) -> ScriptedUpstream:
        """Start an upstream and tell the entry of it."""
        upstream = ScriptedUpstream(f'u{len(self.upstreams)}', script)
        server = HttpServer(ANY_PORT, upstream, HttpBounds())
        await self.stack.enter_async_context(server)
        upstream.address = str(server.address)
        self.upstreams.append(upstream)
        self.send_update()
        return upstream

    def send_update(self) -> None:
        """Send the entry the facts of all upstreams."""
        facts = [
            UpstreamFacts(
                name=upstream.name,
                service='models',
                address=upstream.address,
                failure_domain='d1',
                slots=self.slots,
                models=self.models,
                limit_per_s=self.limit_per_s,
            )
            for upstream in self.upstreams
        ]
        hub = self.entry.hub
        sequence = hub.dispatcher.sequence + 1
        hub.apply_update(make_update(*facts, sequence=sequence))

    async def connect(self) -> ClientConnection:
        """Open the connection of a caller."""
        address = self.entry.server.address
        connection = (await ClientConnection.connect(address, 1.0)).unwrap()
        self.stack.callback(connection.close)
        return connection

    async def call(
        self,
        headers: dict[str, str] | None = None,
        connection: ClientConnection | None = None,
    ) -> CallerOutcome:
        """Send a request as a caller that waits for as long as it takes."""
        used = connection or await self.connect()
        await used.send_request(self.build_request(headers))
        received = await used.receive_head()
        if isinstance(received, Failed):
            return CallerOutcome(CLOSED, self.now)
        head = received.unwrap()
        body = await used.receive_body(MAX_BODY_BYTES)
        if isinstance(body, Failed):
            return CallerOutcome(BROKEN, self.now)
        return CallerOutcome(
            head.status, self.now, body.unwrap(), head.header('retry-after')
        )

    def start_call(
        self,
        headers: dict[str, str] | None = None,
        connection: ClientConnection | None = None,
    ) -> asyncio.Task[CallerOutcome]:
        """Start a caller."""
        return asyncio.create_task(self.call(headers, connection))

    def build_request(
        self, headers: dict[str, str] | None = None
    ) -> ClientRequest:
        """Return a request of a caller with an id of its own."""
        caller_headers = {
            'attempt-id': f'r{next(self.numbers)}',
            'deadline-ms': str(_DEADLINE_MS),
            **(headers or {}),
        }
        return ClientRequest(
            method='POST',
            target='/chat/x',
            headers=encode_headers(caller_headers),
            body=b'question',
            host='a.example',
        )

    def begin_stop(self) -> None:
        """Tell the entry to stop, and end it like its process does."""
        self.stopped_at = self.now
        self.stop_task = asyncio.create_task(self._stop())

    async def finish_stop(self) -> float:
        """Wait for the end of the process; return how long the stop took."""
        assert self.stop_task is not None
        await self.stop_task
        return self.now - self.stopped_at

    async def _stop(self) -> None:
        """Drain the entry and close it; kill it after the grace period."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self.grace_s):
                await self.entry.drain()
        await self.process.aclose()
