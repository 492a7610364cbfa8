"""A connection of an HTTP client.

Invariant: `bytes_written` is zero only while not one byte of a request was
handed to the operating system, so that zero proves that it was not run.
"""

import asyncio
import ssl
from typing import Final, Self, final

import h11
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._address import Address
from persimmonhold.web._client_request import ClientRequest
from persimmonhold.web._response_head import ResponseHead

_READ_BYTES: Final = 65_536
_MAX_HEAD_BYTES: Final = 65_536


@final
class ClientConnection:
    """Sends one request at a time and receives its response."""

    __slots__ = (
        '_parser',
        '_reader',
        '_writer',
        'bytes_written',
        'peer',
        'response_ended',
    )

    def __init__(
        self,
        peer: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Create a connection on open streams."""
        self.peer = peer
        self.bytes_written = 0
        self.response_ended = False
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        )

    @classmethod
    async def connect(
        cls,
        peer: Address,
        timeout_s: float,
        tls: ssl.SSLContext | None = None,
    ) -> Result[Self, Failure]:
        """Open a connection within `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                streams = await asyncio.open_connection(
                    peer.host,
                    peer.port,
                    ssl=tls,
                )
        except (OSError, TimeoutError) as error:
            return Failed(
                Failure(
                    kind=FailureKind.connect_failed,
                    step='connect',
                    peer=str(peer),
                    detail=str(error) or 'connect timed out',
                ),
            )
        return Success(cls(peer, *streams))

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent on this connection."""
        if self._writer.is_closing() or self._reader.at_eof():
            return False
        return self._parser.our_state is h11.IDLE

    async def send(self, request: ClientRequest) -> Result[None, Failure]:
        """Write a whole request."""
        self.response_ended = False
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=self._headers(request),
        )
        encoded = self._parser.send(head) or b''
        if request.body:
            encoded += self._parser.send(h11.Data(data=request.body)) or b''
        encoded += self._parser.send(h11.EndOfMessage()) or b''
        if self._writer.is_closing() or self._reader.at_eof():
            return Failed(self._failure('send', 'closed before sending'))
        self.bytes_written += len(encoded)
        try:
            self._writer.write(encoded)
            await self._writer.drain()
        except OSError as error:
            return Failed(self._failure('send', str(error)))
        return Success(None)

    async def receive_head(self) -> Result[ResponseHead, Failure]:
        """Wait for the head of the response."""
        while True:
            event = await self._next_event('receive head')
            if isinstance(event, Failure):
                return Failed(event)
            if isinstance(event, h11.Response):
                return Success(
                    ResponseHead(
                        status=event.status_code,
                        headers=tuple(event.headers),
                    ),
                )

    async def receive_chunk(self) -> Result[bytes, Failure]:
        """Return what one read brought of the body; empty at its end."""
        while True:
            parsed = self._parse_body()
            if isinstance(parsed, Failed) or parsed.unwrap():
                return parsed
            if self.response_ended:
                return parsed
            failure = await self._read('receive body')
            if failure is not None:
                return Failed(failure)

    async def receive_body(self) -> Result[bytes, Failure]:
        """Return the whole body."""
        received = bytearray()
        while not self.response_ended:
            chunk = await self.receive_chunk()
            if isinstance(chunk, Failed):
                return chunk
            received += chunk.unwrap()
        return Success(bytes(received))

    def close(self) -> None:
        """Close the connection; a request under way is cancelled by it."""
        self._writer.close()

    def _headers(self, request: ClientRequest) -> list[tuple[bytes, bytes]]:
        own = [(b'host', str(self.peer).encode('ascii'))]
        if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
            length = str(len(request.body)).encode('ascii')
            own.append((b'content-length', length))
        return [*own, *request.headers]

    def _parse_body(self) -> Result[bytes, Failure]:
        """Return the body bytes that were read and not yet taken."""
        received = bytearray()
        while not self.response_ended:
            event = self._parse('receive body')
            if isinstance(event, Failure):
                return Failed(event)
            if isinstance(event, h11.Data):
                received += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._end_response()
            else:
                break
        return Success(bytes(received))

    def _end_response(self) -> None:
        self.response_ended = True
        done = (h11.DONE, h11.DONE)
        states = (self._parser.our_state, self._parser.their_state)
        if states == done:
            self._parser.start_next_cycle()

    async def _next_event(self, step: str) -> h11.Event | Failure:
        while True:
            event = self._parse(step)
            if isinstance(event, (Failure, h11.Event)):
                return event
            failure = await self._read(step)
            if failure is not None:
                return failure

    def _parse(
        self,
        step: str,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED] | Failure:
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            return self._failure(step, str(error))
        if isinstance(event, h11.ConnectionClosed):
            return self._failure(step, 'closed by the peer')
        return event

    async def _read(self, step: str) -> Failure | None:
        try:
            received = await self._reader.read(_READ_BYTES)
        except OSError as error:
            return self._failure(step, str(error))
        self._parser.receive_data(received)
        return None

    def _failure(self, step: str, detail: str) -> Failure:
        return Failure(
            kind=FailureKind.connection_lost,
            step=step,
            peer=str(self.peer),
            detail=detail,
        )
