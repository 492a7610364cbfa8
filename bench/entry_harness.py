"""Runs an entry, a raw engine and raw callers in one process.

The engine and the callers exchange fixed HTTP byte strings, so that their
cost is small compared with that of the entry between them.
"""

import asyncio
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.catalogue import (
    Accelerator,
    Bounds,
    Catalogue,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.control.machine import ClaimKey, CommandResult, EndClaim
from persimmonhold.control.shell import ControlLink
from persimmonhold.entry import Entry
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import (
    ControlView,
    Copy,
    CopyState,
    Demand,
    VmRecord,
)
from persimmonhold.observability import Metrics
from persimmonhold.settings import (
    CallerSettings,
    PlatformSettings,
    VmSettings,
)
from persimmonhold.web import Address

_LOOPBACK: Final = '127.0.0.1'
_EVENT: Final = (
    b'data: {"object":"chat.completion.chunk","model":"tutor",'
    b'"choices":[{"index":0,"finish_reason":null,'
    b'"delta":{"content":" t12.3456"}}]}\n\n'
)
_CHUNK: Final = b'%x\r\n%b\r\n' % (len(_EVENT), _EVENT)
_DONE: Final = b'data: [DONE]\n\n'
_LAST_CHUNKS: Final = b'%x\r\n%b\r\n0\r\n\r\n' % (len(_DONE), _DONE)
_STREAM_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
_LOAD_REPORT: Final = (
    b'{"boot_id":"b","age_ms":0,"running":0,"waiting":0,"slots":4096,'
    b'"kv_used_fraction":0,"prefill_tokens_per_second":1000000,'
    b'"decode_step_ms":1}'
)
_OK_STATUS_LINE: Final = b'HTTP/1.1 200 '
_CACHE_EVENT_PAGE: Final = b'{"boot_id":"b","last":0}'


@final
class StaticControlLink(ControlLink):
    """A control link with a fixed view that refuses all claims."""

    async def claim(self, claim: ClaimKey) -> Result[CommandResult, Failure]:
        """Refuse the claim for lack of a quorum."""
        return Failed(Failure(kind=FailureKind.no_quorum, step='claim'))

    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Refuse the end of a claim for lack of a quorum."""
        return Failed(Failure(kind=FailureKind.no_quorum, step='end claim'))

    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Ignore the reported demand."""


@final
class RawEngine:
    """Sends one token per step to each open stream."""

    def __init__(self, tokens: int, step_s: float) -> None:
        """Create an engine whose streams have `tokens` tokens."""
        self.tokens = tokens
        self.step_s = step_s
        self.streams: dict[asyncio.Transport, int] = {}
        self.address = Address(_LOOPBACK, 0)
        self.is_paused = False
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Listen on a free port and start the step task."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _EngineConnection(self),
            _LOOPBACK,
            0,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(_LOOPBACK, port)
        self._task = loop.create_task(self._run())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the step task and close the server."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    async def _run(self) -> None:
        while True:
            for transport, sent_tokens in tuple(self.streams.items()):
                self._send_token(transport, sent_tokens)
            await asyncio.sleep(self.step_s)

    def _send_token(
        self, transport: asyncio.Transport, sent_tokens: int
    ) -> None:
        if self.is_paused and sent_tokens:
            return
        if sent_tokens < self.tokens:
            transport.write(_CHUNK)
            self.streams[transport] = sent_tokens + 1
        else:
            transport.write(_LAST_CHUNKS)
            self.streams.pop(transport)


@final
class _EngineConnection(asyncio.Protocol):
    """Parses requests by content length and starts streams."""

    def __init__(self, engine: RawEngine) -> None:
        self._engine = engine
        self._received = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the stream of the connection."""
        if self._transport is not None:
            self._engine.streams.pop(self._transport, None)

    def data_received(self, data: bytes) -> None:
        """Respond to a request once it is complete."""
        self._received += data
        head, has_head_end, body = self._received.partition(b'\r\n\r\n')
        if not has_head_end or len(body) < _content_length(head):
            return
        self._received = b''
        if self._transport is not None:
            self._respond(head, self._transport)

    def _respond(self, head: bytes, transport: asyncio.Transport) -> None:
        if head.startswith(b'GET /load'):
            transport.write(_build_response(_LOAD_REPORT))
        elif head.startswith(b'GET /cache'):
            transport.write(_build_response(_CACHE_EVENT_PAGE))
        else:
            transport.write(_STREAM_HEAD + _CHUNK)
            self._engine.streams[transport] = 1


@final
class RawCaller(asyncio.Protocol):
    """Sends one streaming request and counts the bytes received."""

    def __init__(self) -> None:
        """Create a caller that is not connected."""
        loop = asyncio.get_running_loop()
        self.stream_end: asyncio.Future[None] = loop.create_future()
        self.first_token: asyncio.Future[None] = loop.create_future()
        self.received_bytes = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Count the bytes and detect the first token and the stream end."""
        if not self.received_bytes and not data.startswith(_OK_STATUS_LINE):
            self._fail(data)
        self.received_bytes += len(data)
        if not self.first_token.done() and b'data: ' in data:
            self.first_token.set_result(None)
        if data.endswith(b'0\r\n\r\n') and not self.stream_end.done():
            self.stream_end.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail `stream_end` if the stream is incomplete."""
        if not self.stream_end.done():
            self.stream_end.set_exception(
                ConnectionError('connection lost before the stream ended')
            )
            self.stream_end.exception()

    def send_request(self) -> None:
        """Send the completion request."""
        body = b'{"model":"tutor","stream":true,"prompt":"Check my harness."}'
        if self.transport is not None:
            self.transport.write(
                b'POST /v1/completions HTTP/1.1\r\nhost: a\r\n'
                b'content-type: application/json\r\ncontent-length: %d'
                b'\r\n\r\n%b' % (len(body), body),
            )

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, data: bytes) -> None:
        error = ConnectionError(data.decode('latin-1'))
        for waiter in (self.first_token, self.stream_end):
            waiter.set_exception(error)


@final
class EntryHarness:
    """Owns an engine and an entry that forwards requests to it."""

    def __init__(self, tokens: int, step_s: float, seed: int) -> None:
        """Create a harness whose streams have `tokens` tokens."""
        self.engine = RawEngine(tokens, step_s)
        self._seed = seed
        self._entry: Entry | None = None
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start the engine and the entry."""
        await self._stack.enter_async_context(self.engine)
        link = StaticControlLink()
        link.view = _build_view(self.engine.address)
        entry = Entry(
            VmSettings(name='vm1', failure_domain='fd1'),
            CallerSettings(address=f'{_LOOPBACK}:0', max_connections=100_000),
            PlatformSettings(),
            link,
            Metrics(),
            seed=self._seed,
        )
        self._entry = await self._stack.enter_async_context(entry)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the entry and the engine."""
        await self._stack.aclose()

    def address(self, through_entry: bool) -> Address:
        """Return the address of the entry, or of the engine itself."""
        if through_entry and self._entry is not None:
            return self._entry.address
        return self.engine.address


async def connect_caller(address: Address) -> RawCaller:
    """Connect a new caller to the address."""
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(
        RawCaller,
        address.host,
        address.port,
    )
    return caller


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


def _build_response(body: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    return head + body


def _build_view(engine: Address) -> ControlView:
    upstream = UpstreamEntry(
        name='engine',
        owner='bench',
        address=str(engine),
        failure_domain='fd1',
        accelerators=(Accelerator(name='a0', memory_bytes=9),),
    )
    model = ModelEntry(
        name='tutor',
        owner='bench',
        version='1',
        weight_bytes=1,
        kv_floor_bytes=1,
        bounds=Bounds(first_token_ms=60_000, deadline_ms=120_000),
    )
    copy = Copy(
        target='tutor',
        version='1',
        upstream='engine',
        accelerator='a0',
        state=CopyState.serving,
        fence=1,
    )
    return ControlView(
        index=1,
        catalogue=Catalogue().with_entry(model).with_entry(upstream),
        copies=(copy,),
        vms=(VmRecord(name='vm1', failure_domain='fd1', callers='a:1'),),
    )
