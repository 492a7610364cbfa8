"""An entry of the platform before scripted upstreams on loopback."""

import itertools
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

import msgspec
from returns.result import Failure as Failed
from returns.result import Result

from bench.memory_network import MemoryNetwork
from persimmonhold.control.machine import ControlStateMachine
from persimmonhold.control.shell import VmAgentRunner
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.fleet import (
    FleetOrder,
    ForwardDispatcher,
    ListedUpstream,
    OrderVerdict,
    RetryBounds,
    UpstreamFacts,
    UpstreamReport,
)
from persimmonhold.forwarding import (
    FleetClient,
    ForwardHandler,
    ForwardHub,
    ForwardServices,
    UpstreamClient,
)
from persimmonhold.messages import VmRecord
from persimmonhold.observability import Metrics
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.routes import RouteKind, RoutingDocument, ServiceSpec
from persimmonhold.web import (
    Address,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    FetchedResponse,
    HttpBounds,
    HttpServer,
    RequestHead,
    encode_headers,
    fetch,
)
from tests.entry_builders import ANY_PORT, TIMEOUT_S, FakeControlLink
from tests.fleet_builders import make_route, make_update

Script = Callable[[Exchange], Awaitable[None]]
_NO_LIST = Failure(kind=FailureKind.timed_out, step='list')


class UnavailableUpstreamClient(UpstreamClient):
    """A platform that tells nothing; the tests set the facts."""

    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """Tell nothing."""
        return Failed(_NO_LIST)

    async def read_report(
        self,
        upstream: str,
        address: str,
    ) -> Result[UpstreamReport, Failure]:
        """Tell nothing."""
        return Failed(_NO_LIST)

    async def send_order(
        self,
        upstream: str,
        address: str,
        order: FleetOrder,
        fencing_token: int,
    ) -> OrderVerdict:
        """Send nothing."""
        return OrderVerdict.not_sent

    def close(self) -> None:
        """Close nothing."""


class ScriptedUpstream(ExchangeHandler):
    """Answers by a script, and keeps the heads that it got."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.heads: list[RequestHead] = []
        self.address = ''

    async def serve(self, exchange: Exchange) -> None:
        """Play the script."""
        self.heads.append(exchange.head)
        await self.script(exchange)


class ForwardingHarness:
    """Owns the entry and the upstreams."""

    def __init__(self) -> None:
        self.stack = AsyncExitStack()
        self.upstreams: list[ScriptedUpstream] = []
        self.leaving: set[str] = set()
        self.request_numbers = itertools.count(1)
        self.control = FakeControlLink(ControlStateMachine())
        self.hub = ForwardHub(
            ForwardDispatcher('d1', RetryBounds(), random.Random(1)),
            time.monotonic,
        )
        network = MemoryNetwork(1)
        transport = network.create_transport('vm1')
        record = VmRecord(name='vm1', failure_domain='d1')
        fleet = FleetClient(
            self.hub,
            VmAgentRunner(record, {}, transport),
            transport,
            UnavailableUpstreamClient(),
            random.Random(1),
        )
        self.services = ForwardServices(
            self.hub,
            fleet,
            self.control,
            PlatformDialect(),
            Metrics(),
        )
        self.set_route(RouteKind.idempotent)
        self.server = HttpServer(
            ANY_PORT,
            ForwardHandler(self.services),
            HttpBounds(),
        )

    async def __aenter__(self) -> Self:
        self.stack.callback(self.hub.close)
        self.stack.callback(self.services.pool.close)
        await self.stack.enter_async_context(self.server)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stack.aclose()

    def set_route(
        self,
        kind: RouteKind,
        attempts: int = 1,
        resumable: bool = False,
        timeout_ms: float = 5000,
    ) -> None:
        """Have one route of a service without models."""
        route = make_route(kind, resumable=resumable, attempts=attempts)
        document = RoutingDocument(
            version=self.control.view.routes.version + 1,
            routes=(msgspec.structs.replace(route, timeout_ms=timeout_ms),),
            services=(ServiceSpec(name='models'),),
        )
        self._set_document(document)

    def clear_routes(self) -> None:
        """Be as an entry that has just started."""
        self._set_document(RoutingDocument())

    async def start_upstream(self, script: Script) -> ScriptedUpstream:
        """Start an upstream and tell the entry of it."""
        played = ScriptedUpstream(f'u{len(self.upstreams)}', script)
        server = HttpServer(Address('127.0.0.1', 0), played, HttpBounds())
        await self.stack.enter_async_context(server)
        played.address = str(server.address)
        self.upstreams.append(played)
        self._send_update()
        return played

    def mark_leaving(self, upstream: ScriptedUpstream) -> None:
        """Have the list show an upstream as leaving."""
        self.leaving.add(upstream.name)
        self._send_update()

    async def send_request(
        self,
        body: bytes = b'question',
        target: str = '/chat/x?y=1',
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
    ) -> Result[FetchedResponse, Failure]:
        """Send a request of a caller."""
        own = {
            'attempt-id': f'r{next(self.request_numbers)}',
            'deadline-ms': str(deadline_ms),
            **(headers or {}),
        }
        request = ClientRequest(
            method='POST',
            target=target,
            headers=encode_headers(own),
            body=body,
            host='a.example',
        )
        return await fetch(self.server.address, request, TIMEOUT_S)

    def _set_document(self, document: RoutingDocument) -> None:
        view = msgspec.structs.replace(self.control.view, routes=document)
        self.control.view = view

    def _send_update(self) -> None:
        facts = [
            UpstreamFacts(
                name=one.name,
                service='models',
                address=one.address,
                failure_domain='d1',
                slots=8,
                is_leaving=one.name in self.leaving,
            )
            for one in self.upstreams
        ]
        sequence = self.hub.dispatcher.sequence + 1
        self.hub.apply_update(make_update(*facts, sequence=sequence))
