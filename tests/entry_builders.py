"""A test harness: an entry with fake control and upstreams on loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.catalogue import (
    Accelerator,
    CallRule,
    Catalogue,
    ModelEntry,
    ServiceEntry,
    UpstreamEntry,
)
from persimmonhold.control.machine import (
    ClaimKey,
    CommandResult,
    ControlStateMachine,
    EndClaim,
)
from persimmonhold.control.shell import ControlLink
from persimmonhold.entry import Entry
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import (
    ControlView,
    Copy,
    CopyState,
    Demand,
    LoadReport,
    VmRecord,
)
from persimmonhold.observability import Metrics
from persimmonhold.settings import (
    CallerSettings,
    PlatformSettings,
    VmSettings,
)
from persimmonhold.web import (
    Address,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    FetchedResponse,
    HttpBounds,
    HttpServer,
    encode_headers,
    fetch,
)

ANY_PORT = Address('127.0.0.1', 0)
TIMEOUT_S = 10.0
Script = Callable[[Exchange], Awaitable[None]]
IDLE_LOAD_REPORT: Final = LoadReport(
    boot_id='b',
    age_ms=0,
    running=0,
    waiting=0,
    slots=64,
    kv_used_fraction=0,
    prefill_tokens_per_second=100_000,
    decode_step_ms=1,
)


@final
class FakeControlLink(ControlLink):
    """A link to a control state machine whose faults a test sets.

    `is_cut` fails every command before it is applied; `loses_next_result`
    applies the next command but reports a failure. While `answers` is not set,
    no command is applied or answered. An announcement takes `announce_s`.
    `proof_age_s` is the age of the proof of control.
    """

    def __init__(self, machine: ControlStateMachine) -> None:
        super().__init__()
        self.machine = machine
        self.is_cut = False
        self.is_isolated = False
        self.loses_next_result = False
        self.claim_ended = asyncio.Event()
        self.answers = asyncio.Event()
        self.answers.set()
        self.announce_s = 0.0
        self.proof_age_s = 0.0

    async def claim_key(
        self, claim: ClaimKey
    ) -> Result[CommandResult, Failure]:
        """Commit a claim unless the link is cut."""
        return await self._propose(claim)

    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Commit the end of a claim unless the link is cut."""
        result = await self._propose(end)
        self.claim_ended.set()
        return result

    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Ignore reports of demand."""

    @property
    def can_serve(self) -> bool:
        """Whether the entry may serve callers."""
        return not self.is_isolated

    @property
    def control_proof_age_s(self) -> float:
        """The age that a test sets."""
        return self.proof_age_s

    async def announce_draining(self) -> bool:
        """Announce the drain, which takes `announce_s`."""
        await asyncio.sleep(self.announce_s)
        return await super().announce_draining()

    async def _propose(
        self,
        command: ClaimKey | EndClaim,
    ) -> Result[CommandResult, Failure]:
        await asyncio.sleep(0)
        await self.answers.wait()
        failure = Failure(kind=FailureKind.no_quorum, step='propose')
        if self.is_cut:
            return Failed(failure)
        result = self.machine.apply(self.machine.state.index + 1, command)
        if self.loses_next_result:
            self.loses_next_result = False
            return Failed(failure)
        return Success(result)


@final
class ScriptedUpstream(ExchangeHandler):
    """Responds to each call with the next script, repeating the last."""

    def __init__(self, name: str, *scripts: Script) -> None:
        self.name = name
        self.scripts = list(scripts)
        self.bodies: list[bytes] = []
        self.targets: list[str] = []
        self.resume_offsets: list[str] = []
        self.caller_addresses: list[str] = []
        self.headers: list[dict[bytes, bytes]] = []
        self.cancelled = asyncio.Event()
        self.called = asyncio.Event()
        self.address = ANY_PORT
        self.load_report = IDLE_LOAD_REPORT

    @property
    def executions(self) -> int:
        """The number of requests whose body was received completely."""
        return len(self.bodies)

    async def serve(self, exchange: Exchange) -> None:
        """Serve load reports and cache events, and run the script of a call."""
        if exchange.head.path == '/load':
            await exchange.respond_json(200, self.load_report)
            return
        if exchange.head.path == '/cache-events':
            await exchange.respond_json(200, {'boot_id': 'b', 'last': 0})
            return
        body = await exchange.read_body()
        self.bodies.append(body.unwrap())
        self.targets.append(exchange.head.target)
        self.caller_addresses.append(exchange.head.peer)
        self.headers.append(dict(exchange.head.headers))
        offset = exchange.head.header('persimmonhold-resume-offset')
        self.resume_offsets.append(offset)
        self.called.set()
        script = self.scripts[0]
        if len(self.scripts) > 1:
            self.scripts.pop(0)
        try:
            await script(exchange)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@final
class EntryHarness:
    """Owns the entries under test and their upstreams."""

    def __init__(
        self,
        *upstreams: ScriptedUpstream,
        callers: CallerSettings | None = None,
        entries: int = 1,
    ) -> None:
        self.upstreams = upstreams
        self.machine = ControlStateMachine()
        self.metrics = Metrics()
        self.links = [FakeControlLink(self.machine) for _ in range(entries)]
        self.entries: list[Entry] = []
        self._callers = callers or CallerSettings(
            directory_ttl_s=0.01,
            drain_margin_s=0,
        )
        self._stack = AsyncExitStack()

    @property
    def link(self) -> FakeControlLink:
        """The control link of the first entry."""
        return self.links[0]

    @property
    def entry(self) -> Entry:
        """The first entry."""
        return self.entries[0]

    async def __aenter__(self) -> Self:
        for upstream in self.upstreams:
            server = HttpServer(ANY_PORT, upstream, HttpBounds())
            await self._stack.enter_async_context(server)
            upstream.address = server.address
        for link in self.links:
            link.view = self.view()
            entry = Entry(
                VmSettings(name='vm1', failure_domain='fd1'),
                msgspec.structs.replace(
                    self._callers,
                    address=str(ANY_PORT),
                ),
                PlatformSettings(),
                link,
                self.metrics,
                seed=1,
            )
            self.entries.append(await self._stack.enter_async_context(entry))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    def view(self) -> ControlView:
        """Return a view that assigns each upstream to one model or service.

        Upstreams named engine-* serve the model, all others the service.
        """
        rules = (CallRule(method='GET', path_prefix='', idempotent=True),)
        catalogue = Catalogue().with_entry(
            ServiceEntry(name='lodgements', owner='levy', rules=rules),
        )
        catalogue = catalogue.with_entry(
            ModelEntry(
                name='tutor',
                owner='levy',
                version='1',
                weight_bytes=1,
                kv_floor_bytes=1,
            ),
        )
        copies = []
        for upstream in self.upstreams:
            catalogue = catalogue.with_entry(_upstream_entry(upstream))
            copies.append(_copy(upstream))
        vms = (VmRecord(name='vm1', failure_domain='fd1', callers='a:1'),)
        return ControlView(
            index=1,
            catalogue=catalogue,
            copies=tuple(copies),
            vms=vms,
        )

    def preempt_all(self) -> None:
        """Preempt every request of the first entry."""
        for listener in tuple(self.entry.hub.listeners.values()):
            listener.handle_preemption()

    async def call(
        self,
        method: str,
        target: str,
        document: object = None,
        headers: dict[str, str] | None = None,
        entry: int = 0,
    ) -> FetchedResponse:
        """Send a request to an entry and return the complete response."""
        request = ClientRequest(
            method=method,
            target=target,
            headers=encode_headers(headers or {}),
            body=b''
            if document is None
            else msgspec.json.encode(document, enc_hook=dict),
        )
        address = self.entries[entry].address
        return (await fetch(address, request, TIMEOUT_S)).unwrap()


def _upstream_entry(upstream: ScriptedUpstream) -> UpstreamEntry:
    is_engine = upstream.name.startswith('engine')
    accelerators = (Accelerator(name='a0', memory_bytes=9),)
    return UpstreamEntry(
        name=upstream.name,
        owner='levy',
        address=str(upstream.address),
        failure_domain='fd1',
        service='' if is_engine else 'lodgements',
        accelerators=accelerators if is_engine else (),
    )


def _copy(upstream: ScriptedUpstream) -> Copy:
    return Copy(
        target='tutor',
        version='1',
        upstream=upstream.name,
        accelerator='a0',
        state=CopyState.serving,
        fence=1,
    )
