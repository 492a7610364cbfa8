"""An entry on the platform with scripted upstreams on loopback."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

import msgspec
import pytest
from returns.result import Failure as Failed
from returns.result import Result, Success

from bench.memory_network import MemoryNetwork
from persimmonhold.control.machine import ControlStateMachine
from persimmonhold.control.shell import VmAgentRunner
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.fleet import (
    FleetOrder,
    ForwardDispatcher,
    HeldModel,
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
from persimmonhold.routes import (
    EngineSpec,
    RouteKind,
    RoutingDocument,
    ServiceSpec,
    Workspace,
)
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
from tests.raw_upstream import RawScript, RawUpstream

Script = Callable[[Exchange], Awaitable[None]]
# Each kind of route, and whether its streams may be resumed.
ROUTE_KINDS = (
    pytest.param(RouteKind.stream, False, id='stream'),
    pytest.param(RouteKind.stream, True, id='resumable'),
    pytest.param(RouteKind.non_idempotent, False, id='non_idempotent'),
    pytest.param(RouteKind.idempotent, False, id='idempotent'),
)
_NO_LIST = Failure(kind=FailureKind.timed_out, step='list')


class UnavailableUpstreamClient(UpstreamClient):
    """A platform that answers only with the list and report a test sets."""

    def __init__(self) -> None:
        self.listed: tuple[ListedUpstream, ...] | None = None
        self.read_count = 0
        self.report: Result[UpstreamReport, Failure] = Failed(_NO_LIST)
        self.report_count = 0

    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """Return the list; fail with a time-out if there is none."""
        self.read_count += 1
        return Failed(_NO_LIST) if self.listed is None else Success(self.listed)

    async def read_report(
        self,
        upstream: str,
        address: str,
    ) -> Result[UpstreamReport, Failure]:
        """Return the report; fail with a time-out if there is none."""
        self.report_count += 1
        return self.report

    async def send_order(
        self,
        upstream: str,
        address: str,
        order: FleetOrder,
        fencing_token: int,
    ) -> OrderVerdict:
        """Report the order as not sent."""
        return OrderVerdict.not_sent

    def close(self) -> None:
        """Do nothing, since there is no connection."""


class ScriptedUpstream(ExchangeHandler):
    """Runs a script for each request, and records the request heads."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.heads: list[RequestHead] = []
        self.address = ''

    async def serve(self, exchange: Exchange) -> None:
        """Record the head and run the script."""
        self.heads.append(exchange.head)
        await self.script(exchange)


class ForwardingHarness:
    """Owns an entry and its upstreams."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        vm_name: str = 'vm1',
    ) -> None:
        self.stack = AsyncExitStack()
        self.upstreams: list[ScriptedUpstream] = []
        self.raw_upstreams: list[RawUpstream] = []
        self.raw_servers: list[asyncio.Server] = []
        self.leaving: set[str] = set()
        self.silent: set[str] = set()
        self.births: dict[str, int] = {}
        self.limits: dict[str, float] = {}
        self.versions: dict[str, str] = {}
        self.models: tuple[HeldModel, ...] = ()
        self.request_numbers = itertools.count(1)
        self.control = FakeControlLink(ControlStateMachine())
        metrics = Metrics()
        self.hub = ForwardHub(
            ForwardDispatcher('d1', RetryBounds(), random.Random(1)),
            clock,
            metrics,
        )
        network = MemoryNetwork(1)
        transport = network.create_transport(vm_name)
        record = VmRecord(name=vm_name, failure_domain='d1')
        self.platform = UnavailableUpstreamClient()
        fleet = FleetClient(
            self.hub,
            VmAgentRunner(record, {}, transport),
            transport,
            self.platform,
            random.Random(1),
        )
        self.services = ForwardServices(
            self.hub,
            fleet,
            self.control,
            PlatformDialect(),
            metrics,
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
        self.stack.callback(self.services.reach.close)
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
        engine: EngineSpec | None = None,
    ) -> None:
        """Replace the routes by one route; its service may run models."""
        route = make_route(kind, resumable=resumable, attempts=attempts)
        document = RoutingDocument(
            version=self.control.view.routes.version + 1,
            routes=(msgspec.structs.replace(route, timeout_ms=timeout_ms),),
            services=(ServiceSpec(name='models', engine=engine),),
        )
        self._set_document(document)

    def set_workspaces(self, *workspaces: Workspace) -> None:
        """Replace the workspaces, as the entry does when it gets a view."""
        self._set_document(
            msgspec.structs.replace(
                self.control.view.routes,
                version=self.control.view.routes.version + 1,
                workspaces=workspaces or msgspec.UNSET,
            )
        )
        self.services.routes.refresh()

    def clear_routes(self) -> None:
        """Remove the routes, as in an entry that has just started."""
        self._set_document(RoutingDocument())

    async def start_upstream(self, script: Script) -> ScriptedUpstream:
        """Start an upstream and send the entry an update with it."""
        upstream = ScriptedUpstream(f'u{len(self.upstreams)}', script)
        server = HttpServer(Address('127.0.0.1', 0), upstream, HttpBounds())
        await self.stack.enter_async_context(server)
        upstream.address = str(server.address)
        self.upstreams.append(upstream)
        self.set_facts()
        return upstream

    async def start_raw_upstream(
        self, script: RawScript, *, keeps_connections: bool = False
    ) -> RawUpstream:
        """Start an upstream that writes bytes, and send the entry an update."""
        upstream = RawUpstream(
            f'r{len(self.raw_upstreams)}',
            script,
            keeps_connections=keeps_connections,
        )
        server = await upstream.start()
        await self.stack.enter_async_context(server)
        self.raw_servers.append(server)
        self.raw_upstreams.append(upstream)
        self.set_facts()
        return upstream

    def mark_leaving(self, upstream: ScriptedUpstream) -> None:
        """Mark an upstream as leaving in the facts of the entry."""
        self.leaving.add(upstream.name)
        self.set_facts()

    async def send_request(
        self,
        body: bytes = b'question',
        target: str = '/chat/x?y=1',
        deadline_ms: int = 4000,
        headers: dict[str, str] | None = None,
    ) -> Result[FetchedResponse, Failure]:
        """Send a request as a caller."""
        caller_headers = {
            'attempt-id': f'r{next(self.request_numbers)}',
            'deadline-ms': str(deadline_ms),
            **(headers or {}),
        }
        request = ClientRequest(
            method='POST',
            target=target,
            headers=encode_headers(caller_headers),
            body=body,
            host='a.example',
        )
        return await fetch(self.server.address, request, TIMEOUT_S)

    def set_facts(self) -> None:
        """Send the entry an update with all upstreams."""
        running: list[ScriptedUpstream | RawUpstream] = [
            *self.upstreams,
            *self.raw_upstreams,
        ]
        facts = [
            UpstreamFacts(
                name=upstream.name,
                service='models',
                address=upstream.address,
                failure_domain='d1',
                slots=8,
                born_ms=self.births.get(upstream.name, 0),
                is_leaving=upstream.name in self.leaving,
                is_silent=upstream.name in self.silent,
                models=self.models,
                limit_per_s=self.limits.get(upstream.name),
                software_version=self.versions.get(upstream.name, 'v1'),
            )
            for upstream in running
        ]
        sequence = self.hub.dispatcher.sequence + 1
        self.hub.apply_update(make_update(*facts, sequence=sequence))

    def set_list(self) -> None:
        """Have the platform list all upstreams from now on."""
        self.platform.listed = tuple(
            ListedUpstream(
                name=tracker.facts.name,
                service=tracker.facts.service,
                address=tracker.facts.address,
                failure_domain='d1',
                slots=8,
                born_ms=tracker.facts.born_ms,
                software_version=self.versions.get(tracker.facts.name, 'v1'),
            )
            for tracker in self.hub.dispatcher.chooser.trackers.values()
        )

    def _set_document(self, document: RoutingDocument) -> None:
        view = msgspec.structs.replace(self.control.view, routes=document)
        self.control.view = view


def run_with_harness(
    scenario: Callable[[ForwardingHarness], Awaitable[None]],
) -> None:
    """Run a scenario with an entry of its own."""

    async def run_scenario() -> None:
        async with ForwardingHarness() as harness:
            await scenario(harness)

    asyncio.run(run_scenario())
