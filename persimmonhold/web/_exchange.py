"""One request and its response on a server connection.

Invariant: a response is written to the connection that its request came
from, and nothing is written after the response ended or the peer
disconnected.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, final

import h11
import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._buffer_share import BufferShare
from persimmonhold.web._close_cause import CloseCause
from persimmonhold.web._headers import Headers, encode_headers
from persimmonhold.web._memory_budget import MemoryBudget
from persimmonhold.web._request_head import RequestHead

if TYPE_CHECKING:
    from persimmonhold.web._server_connection import ServerConnection

_NO_CONTENT: Final = 204


@final
class Exchange:
    """A received request and its response, while a handler serves it."""

    __slots__ = (
        '_body',
        '_body_ended',
        '_connection',
        'body_refusal',
        'body_share',
        'has_response_ended',
        'has_response_started',
        'head',
        'is_body_wanted',
        'on_writable',
    )

    def __init__(
        self,
        head: RequestHead,
        connection: 'ServerConnection',
    ) -> None:
        """Create the exchange of a request whose head was received."""
        self.head = head
        self.has_response_started = False
        self.has_response_ended = False
        self.body_refusal: FailureKind | None = None
        self.is_body_wanted = False
        self.on_writable: Callable[[], None] | None = None
        self.body_share = BufferShare(connection.budget)
        self._connection = connection
        self._body: bytearray | bytes = bytearray()
        self._body_ended = asyncio.Event()

    @property
    def is_body_awaited(self) -> bool:
        """Whether the request body was neither received whole nor refused."""
        return not self._body_ended.is_set()

    @property
    def close_cause(self) -> CloseCause | None:
        """Why the connection was closed; None while it is open."""
        return self._connection.close_cause

    @property
    def was_cut(self) -> bool:
        """Whether the request has no whole response, and its peer still waits.

        Only meaningful once the request has ended.
        """
        is_left = self.close_cause is CloseCause.peer
        return not self.has_response_ended and not is_left

    @property
    def budget(self) -> MemoryBudget:
        """The memory that the process has for its peers."""
        return self.body_share.budget

    async def read_body(self) -> Result[bytes, Failure]:
        """Wait for the whole request body and return it.

        Little of the body is received before this call. Fails as `timed_out`,
        or as `refused` or `overloaded` if the server refused the body.
        """
        if not self.is_body_wanted:
            self.is_body_wanted = True
            self._connection.receive_wanted_body()
        if not self._body_ended.is_set():
            timeout_s = self._connection.bounds.body_timeout_s
            try:
                async with asyncio.timeout(timeout_s):
                    await self._body_ended.wait()
            except TimeoutError:
                return Failed(self._build_body_failure(FailureKind.timed_out))
        if self.body_refusal is not None:
            return Failed(self._build_body_failure(self.body_refusal))
        if isinstance(self._body, bytearray):
            # The copy replaces what it was made from; one of them is kept.
            self._body = bytes(self._body)
        return Success(self._body)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of the response; waits while the peer reads slowly."""
        self.start_response_nowait(status, headers)
        await self._connection.wait_until_writable()

    async def send_body_chunk(self, chunk: bytes) -> None:
        """Send a part of the response; waits while the peer reads slowly."""
        self.write_body_chunk(chunk)
        await self._connection.wait_until_writable()

    async def finish_response(self) -> None:
        """End the response; waits while the peer reads slowly."""
        self.finish_response_nowait()
        await self._connection.wait_until_writable()

    def start_response_nowait(self, status: int, headers: Headers) -> None:
        """Send the head of the response unless sent already; never waits."""
        if self.has_response_started:
            return
        self.has_response_started = True
        self._connection.write_event(
            h11.Response(status_code=status, headers=list(headers)),
        )

    def write_body_chunk(self, chunk: bytes) -> bool:
        """Send a part of the response body without waiting.

        Returns False if the response has ended, the peer is gone or the send
        buffer is full; `on_writable` is called when it has room again.
        """
        if self.has_response_ended:
            return False
        return self._connection.write_event(h11.Data(data=chunk))

    def finish_response_nowait(self) -> None:
        """End the response unless it has ended; never waits."""
        if self.has_response_ended:
            return
        self.has_response_ended = True
        self._connection.write_event(h11.EndOfMessage())

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        media_type: str = 'application/json',
        headers: Headers = (),
    ) -> None:
        """Send a whole response; waits while the peer reads slowly."""
        self.respond_nowait(status, body, media_type, headers)
        await self._connection.wait_until_writable()

    def respond_nowait(
        self,
        status: int,
        body: bytes,
        media_type: str = 'application/json',
        headers: Headers = (),
    ) -> None:
        """Send a whole response without waiting."""
        own: dict[str, str] = {}
        if status != _NO_CONTENT:
            own['content-length'] = str(len(body))
            own['content-type'] = media_type
        self.start_response_nowait(status, (*encode_headers(own), *headers))
        if body and self.head.method != 'HEAD':
            self.write_body_chunk(body)
        self.finish_response_nowait()

    async def respond_json(
        self,
        status: int,
        document: object,
        headers: Headers = (),
    ) -> None:
        """Send a response with a JSON document as its body."""
        body = msgspec.json.encode(document)
        await self.respond(status, body, headers=headers)

    def abort_connection(self) -> None:
        """Abort the connection if the response has not ended.

        The peer then sees a truncated response.
        """
        if not self.has_response_ended:
            self._connection.abort(CloseCause.broken_response)

    def receive_body_chunk(self, chunk: bytes) -> None:
        """Store a part of the request body, or refuse the body.

        It is refused beyond its size limit or the memory of the server.
        """
        if self.body_refusal is not None:
            return
        connection = self._connection
        size_bytes = len(self._body) + len(chunk)
        if size_bytes > connection.bounds.max_body_bytes:
            self.refuse_body(FailureKind.refused)
        elif self.body_share.try_resize(size_bytes, connection.buffers):
            self._body += chunk
        else:
            self.refuse_body(FailureKind.overloaded)

    def mark_body_complete(self) -> None:
        """Mark the request body as completely received."""
        self._body_ended.set()

    def refuse_body(self, kind: FailureKind) -> None:
        """Refuse the rest of the request body and discard what was received.

        The kind is `refused` for a body beyond its size limit, `overloaded`
        if the server has no memory for it at the moment.
        """
        self.body_refusal = kind
        self.discard_body()
        self._body_ended.set()

    def discard_body(self) -> None:
        """Discard the received body and release its bytes in the budget."""
        self.body_share.resize(0)
        self._body = bytearray()

    def _build_body_failure(self, kind: FailureKind) -> Failure:
        return Failure(kind=kind, step='read body', peer=self.head.peer)
