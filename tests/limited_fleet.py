"""Entries and control in virtual time, with upstreams that state limits."""

import abc
import asyncio
import random
import shutil
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, cast

import pytest
from returns.result import Result, Success

from bench.memory_system import MemorySystem, wait_until
from persimmonhold.failures import Failure
from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    ForwardDispatcher,
    ListedUpstream,
    RequestProfile,
    RetryBounds,
    SendRequest,
)
from persimmonhold.forwarding import (
    FleetClient,
    FleetRunner,
    ForwardHub,
    ForwardServices,
)
from persimmonhold.forwarding import _dispatched_attempt as attempt_module
from persimmonhold.forwarding._attempt_result import (
    AttemptResult,
    CompleteResponse,
)
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_runner import ForwardRunner
from persimmonhold.observability import Metrics
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.quarantine import fingerprint_request
from persimmonhold.routes import ForwardRoute, RouteKind
from persimmonhold.tasks import keep_running
from persimmonhold.web import (
    Exchange,
    Headers,
    MemoryBudget,
    RequestHead,
    ResponseHead,
)
from tests.entry_builders import FakeControlLink
from tests.fleet_builders import make_route
from tests.forwarding_harness import UnavailableUpstreamClient

_CONTROL_COUNT: Final = 3
_LEASE_S: Final = 3.0
_LINK_DELAY_S: Final = 0.001
_RESPONSE_S: Final = 0.03
_FAULT_S: Final = 4.0
_BUDGET_BYTES: Final = 33_554_432
# Requests of a VM count from this time after its first response with a limit.
_TOLD_S: Final = 0.5
_WINDOW_S: Final = 4.0


class LimitedUpstream:
    """A process of a plain service that may state a request limit."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.born_ms = 1
        self.software_version = ''
        self.is_listed_leaving = False
        self.limit_per_s: float | None = None
        self.arrivals: list[tuple[float, str]] = []
        self.told_at: dict[str, float] = {}
        self.is_full = False
        self.leaving_told_at: dict[str, float] = {}
        self.tells_leaving_to: set[str] = set()
        self.turned_away_s: float | None = None
        self.turned_away_at: dict[str, float] = {}

    def count_told(self, until: float) -> int:
        """Count the arrivals in a window from VMs that had been told."""
        return sum(
            until - _WINDOW_S < at <= until
            and at >= self.told_at.get(vm, at) + _TOLD_S
            for at, vm in self.arrivals
        )

    def largest_excess(self, limit_per_s: float, since: float) -> float:
        """Return how far the most requests in a window exceed the allowed."""
        allowed = 1.5 * limit_per_s * _WINDOW_S + 5
        counts = [self.count_told(at) for at, _ in self.arrivals if at > since]
        return max(counts, default=0) - allowed

    def tell_availability(self, entry: str, hub: ForwardHub) -> bool:
        """Have a response tell an entry whether new requests are wanted.

        Returns whether the upstream turned the request away.
        """
        is_leaving = entry in self.tells_leaving_to
        if is_leaving:
            self.leaving_told_at.setdefault(entry, hub.clock())
        if self.turned_away_s is not None:
            self.turned_away_at.setdefault(entry, hub.clock())
        hub.sparing.record_response(
            (self.name, self.born_ms),
            is_leaving=is_leaving,
            turned_away_s=self.turned_away_s,
        )
        return self.turned_away_s is not None

    def count_after(self, told_at: dict[str, float], until_s: float) -> int:
        """Count the requests of VMs from when they were told, for so long.

        A request that was on its way then does not count.
        """
        return sum(
            told_at[vm] + 2 * _LINK_DELAY_S < at < told_at[vm] + until_s
            for at, vm in self.arrivals
            if vm in told_at
        )

    def count_arrivals(self, since: float, until: float) -> int:
        """Count all arrivals between two times."""
        return sum(since < at <= until for at, _ in self.arrivals)


class ListClient(UnavailableUpstreamClient):
    """A platform that lists the upstreams; they run no models.

    `reads` has the times at which the list was read.
    """

    def __init__(self, upstreams: list[LimitedUpstream]) -> None:
        self.upstreams = upstreams
        self.reads: list[float] = []

    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """List the upstreams."""
        self.reads.append(asyncio.get_running_loop().time())
        return Success(
            tuple(
                ListedUpstream(
                    name=one.name,
                    service='models',
                    address='127.0.0.1:1',
                    failure_domain='d1',
                    slots=200,
                    is_leaving=one.is_listed_leaving,
                    born_ms=one.born_ms,
                    software_version=one.software_version,
                )
                for one in self.upstreams
            )
        )


class RecordedExchange:
    """Records the response that a caller gets."""

    def __init__(self, target: str) -> None:
        self.head = RequestHead(
            method='POST', target=target, headers=(), peer=''
        )
        self.budget = MemoryBudget(_BUDGET_BYTES)
        self.has_response_started = False
        self.request_id = ''
        self.status = 0
        self.headers: Headers = ()
        self.is_aborted = False
        self.close_cause = None  # the connection stays open
        self.was_cut = False
        self.waited_s = 0.0

    def abort_connection(self) -> None:
        """Record that the response was broken off."""
        self.is_aborted = True

    def start_response_nowait(self, status: int, headers: Headers) -> None:
        """Record the head."""
        self.has_response_started = True
        self.status = status
        self.headers = headers

    def respond_nowait(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Record the head of a refusal."""
        self.start_response_nowait(status, headers)

    def write_body_chunk(self, chunk: bytes) -> bool:
        """Ignore the body."""
        return True

    def finish_response_nowait(self) -> None:
        """Do nothing at the end of a response."""


class SimulatedAttempt(abc.ABC):
    """Stands for the connection of an attempt; the rest is the real code."""

    has_written = True
    is_waiting = True
    stage = 'request sent'

    @abc.abstractmethod
    async def run(self) -> AttemptResult:
        """Run the request at the upstream."""


class LimitedFleet:
    """Entries that share upstreams, and the group of control VMs.

    `exchanges` are those of all callers.
    """

    def __init__(
        self,
        entry_count: int,
        directory: Path,
        patch: pytest.MonkeyPatch,
        seed: int = 1,
    ) -> None:
        self.system = MemorySystem(
            _CONTROL_COUNT + entry_count, _CONTROL_COUNT, seed, directory
        )
        self.directory = directory
        self.upstreams = {name: LimitedUpstream(name) for name in ('u1', 'u2')}
        self.client = ListClient(list(self.upstreams.values()))
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task[Any]] = []
        self.client_tasks: dict[str, asyncio.Task[Any]] = {}
        self.runners: dict[str, FleetRunner] = {}
        self.services: dict[str, ForwardServices] = {}
        self.exchanges: list[RecordedExchange] = []
        self.rng = random.Random(5)
        self.numbers = 0
        self.patch = patch

    @property
    def entries(self) -> tuple[str, ...]:
        """The names of the entries."""
        return self.system.names[_CONTROL_COUNT:]

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def __aenter__(self) -> Self:
        self.patch.setattr(attempt_module, 'ForwardAttempt', self.build_attempt)
        await self.stack.enter_async_context(self.system)
        await self.system.wait_for_leader()
        for name in self.system.control_names:
            self.start_controller(name)
        for entry in self.entries:
            self.start_entry(entry)
        await wait_until(
            lambda: all(
                services.hub.dispatcher.chooser.trackers
                for services in self.services.values()
            )
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self.tasks:
            task.cancel()
        ended = await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.stack.aclose()
        for outcome in ended:
            if isinstance(outcome, Exception):
                raise outcome

    def build_attempt(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        response_writer: ForwardResponseWriter,
        event_framer: object,
        action: SendRequest,
        limits: object,
    ) -> SimulatedAttempt:
        """Return what stands for an attempt at an upstream."""
        return _LimitedAttempt(self, services, action)

    def find_entry(self, services: ForwardServices) -> str:
        """Return the name of the entry that owns the services."""
        return next(
            name for name, one in self.services.items() if one is services
        )

    def start_controller(self, name: str) -> None:
        """Start the fleet controller of a VM with control."""
        node = self.system.vms[name].node
        assert node is not None
        transport = self.system.network.transports[name]
        runner = FleetRunner(
            node, transport, self.client, _LEASE_S, lambda: self.now
        )
        self.runners[name] = runner
        self.tasks.append(asyncio.create_task(runner.run()))

    def send_requests(self, per_s: float) -> None:
        """Start callers that together send so many requests a second."""
        for name in self.entries:
            rate = per_s / len(self.entries)
            self.tasks.append(asyncio.create_task(self._call(name, rate)))

    def start_entry(self, name: str) -> None:
        """Start an entry without any knowledge of the upstreams.

        It replaces a former process of that name.
        """
        vm = self.system.vms[name].vm
        transport = self.system.network.transports[name]
        seed = self.rng.random()
        hub = ForwardHub(
            ForwardDispatcher('d1', RetryBounds(), random.Random(seed)),
            lambda: self.now,
        )
        client = FleetClient(
            hub, vm, transport, self.client, random.Random(seed)
        )
        self.services[name] = ForwardServices(
            hub,
            client,
            cast(Any, FakeControlLink(cast(Any, None))),
            PlatformDialect(),
            Metrics(),
        )
        task = asyncio.create_task(keep_running(client.run, 'fleet'))
        self.tasks.append(task)
        former = self.client_tasks.pop(name, None)
        if former is not None:
            former.cancel()
        self.client_tasks[name] = task

    @property
    def leader_name(self) -> str:
        """The name of the VM that leads control."""
        leader = self.system.leader
        return next(
            name
            for name in self.system.control_names
            if self.system.vms[name].node is leader
        )

    def set_version(self, version: str, *names: str) -> None:
        """Have processes of a software version run upstreams, or all."""
        for name in names or self.upstreams:
            self.upstreams[name].software_version = version
            self.upstreams[name].born_ms += 1

    def restart_entries(self) -> None:
        """Restart all entries at once; they know nothing then."""
        for entry in self.entries:
            self.services.pop(entry).hub.close()
            self.start_entry(entry)

    async def restart_all(self, wiped: str = '') -> None:
        """Kill all processes at once, and start them again a second later.

        The control VM that `wiped` names loses its disk.
        """
        for name in self.system.names:
            await self.system.kill(name)
        await asyncio.sleep(1)
        if wiped:
            shutil.rmtree(self.directory / wiped)
        for name in self.system.names:
            await self.system.restart(name)
        for name in self.system.control_names:
            self.start_controller(name)
        self.restart_entries()

    async def disturb_leader(self, fault: str) -> None:
        """Kill, cut off or pause the leader of control for a while."""
        name = self.leader_name
        if fault != 'kill':
            await self.disturb({name}, fault)
            return
        await self.system.kill(name)
        await asyncio.sleep(_FAULT_S)
        await self.system.restart(name)
        self.start_controller(name)

    async def disturb(self, names: set[str], fault: str) -> None:
        """Cut VMs off, or pause them, for a while.

        A paused VM receives what was sent to it when it goes on.
        """
        network = self.system.network
        if fault == 'cut':
            network.partition(names, set(self.system.names) - names)
            await asyncio.sleep(_FAULT_S)
            network.blocked_links.clear()
            return
        for name in names:
            network.pause(name)
        await asyncio.sleep(_FAULT_S)
        for name in names:
            network.resume(name)

    async def run_request(
        self,
        entry: str,
        route: ForwardRoute,
        prompt_parts: tuple[str, ...] = (),
        target: str = '',
        caller: str = '',
    ) -> RecordedExchange:
        """Have an entry serve a request; return what its caller got.

        Without a target, no other request is equal to it.
        """
        self.numbers += 1
        now = self.now
        exchange = RecordedExchange(target or f'/chat/{self.numbers}')
        fingerprints = fingerprint_request(
            'POST', 'a.example', exchange.head.target, caller, b''
        )
        request = DispatchRequest(
            number=self.numbers,
            service='models',
            route=route,
            profile=RequestProfile(
                request_id=f'r{self.numbers}',
                prompt_parts=prompt_parts,
                caller=caller,
                fingerprints=fingerprints,
            ),
            arrived_at=now,
            due_at=now + 0.4,
            caller_waits_until=now + 1.8,
            ends_at=now + 3,
        )
        exchange.request_id = request.profile.request_id
        forwarded = ForwardRequest(
            dispatch_request=request, head=exchange.head, body=b''
        )
        runner = ForwardRunner(
            self.services[entry], forwarded, cast(Exchange, exchange)
        )
        await runner.run()
        exchange.waited_s = self.now - now
        self.exchanges.append(exchange)
        return exchange

    async def _call(self, entry: str, per_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.expovariate(per_s))
                group.create_task(self._run_request(entry))

    async def _run_request(self, entry: str) -> None:
        route = make_route(RouteKind.idempotent)
        await self.run_request(entry, route)


class _LimitedAttempt(SimulatedAttempt):
    """An attempt at an upstream that may state a request limit."""

    def __init__(
        self,
        world: LimitedFleet,
        services: ForwardServices,
        action: SendRequest,
    ) -> None:
        self.world = world
        self.services = services
        self.action = action

    async def run(self) -> AttemptResult:
        """Arrive at the upstream, and return with its response."""
        hub = self.services.hub
        upstream = self.world.upstreams[self.action.upstream.name]
        entry = self.world.find_entry(self.services)
        sent_at = hub.clock()
        await asyncio.sleep(_LINK_DELAY_S)
        upstream.arrivals.append((self.world.now, entry))
        await asyncio.sleep(_RESPONSE_S)
        limit_per_s = upstream.limit_per_s
        await asyncio.sleep(_LINK_DELAY_S)
        if limit_per_s is not None:
            upstream.told_at.setdefault(entry, self.world.now)
        hub.record_stated_limit(
            self.action.upstream.process_key, limit_per_s, sent_at
        )
        if upstream.tell_availability(entry, hub) or upstream.is_full:
            return AttemptResult(end=AttemptEnd.full, may_have_run=False)
        head = ResponseHead(status=200, headers=())
        return AttemptResult(
            end=AttemptEnd.answered,
            may_have_run=True,
            response=CompleteResponse(head, b''),
        )
