"""One request and its response on a server connection.

Invariant: a response is written to the connection that its request came
from, and nothing is written after the response ended or the peer left.
"""

import asyncio
from typing import TYPE_CHECKING, Final, final

import h11
import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._headers import Headers, encode_headers
from persimmonhold.web._request_head import RequestHead

if TYPE_CHECKING:
    from persimmonhold.web._server_connection import ServerConnection

_NO_CONTENT: Final = 204


@final
class Exchange:
    """A request being served."""

    __slots__ = (
        '_body',
        '_body_ended',
        '_connection',
        'body_too_large',
        'ended',
        'head',
        'started',
    )

    def __init__(
        self,
        head: RequestHead,
        connection: 'ServerConnection',
    ) -> None:
        """Create the exchange of a request whose head was received."""
        self.head = head
        self.started = False
        self.ended = False
        self.body_too_large = False
        self._connection = connection
        self._body = bytearray()
        self._body_ended = asyncio.Event()

    async def read_body(self) -> Result[bytes, Failure]:
        """Wait for the whole body, within the bounds of the server."""
        bounds = self._connection.bounds
        try:
            async with asyncio.timeout(bounds.body_timeout_s):
                await self._body_ended.wait()
        except TimeoutError:
            return Failed(self._failure(FailureKind.timed_out))
        if self.body_too_large:
            return Failed(self._failure(FailureKind.overloaded))
        return Success(bytes(self._body))

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        self.started = True
        await self._connection.send(
            h11.Response(status_code=status, headers=list(headers)),
        )

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body; waits while the peer reads slowly."""
        await self._connection.send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """End the response."""
        self.ended = True
        await self._connection.send(h11.EndOfMessage())

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        media_type: str = 'application/json',
        headers: Headers = (),
    ) -> None:
        """Send a whole response."""
        own = {'content-length': str(len(body))}
        if status != _NO_CONTENT:
            own['content-type'] = media_type
        await self.start(status, (*encode_headers(own), *headers))
        if body and self.head.method != 'HEAD':
            await self.send(body)
        await self.finish()

    async def respond_json(
        self,
        status: int,
        document: object,
        headers: Headers = (),
    ) -> None:
        """Send a JSON document."""
        body = msgspec.json.encode(document)
        await self.respond(status, body, headers=headers)

    def abort(self) -> None:
        """Break the connection so that the peer sees a cut response."""
        self._connection.abort()

    def receive(self, chunk: bytes) -> None:
        """Add a received part of the body."""
        limit = self._connection.bounds.max_body_bytes
        if len(self._body) + len(chunk) > limit:
            self.body_too_large = True
            self._body.clear()
            self._body_ended.set()
        if not self.body_too_large:
            self._body.extend(chunk)

    def receive_end(self) -> None:
        """Note that the whole body was received."""
        self._body_ended.set()

    def _failure(self, kind: FailureKind) -> Failure:
        return Failure(kind=kind, step='read body', peer=self.head.peer)
