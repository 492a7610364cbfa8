"""A connection of an HTTP client.

Invariants: `bytes_written` is zero only while no byte of a request has been
handed to the operating system, so zero proves that the peer did not run it;
`has_peer_closed` is set once the peer closed or reset the connection,
`has_received` once it has sent anything since the last request was written. After
`is_kept_open` was cleared, no further request is sent on it. `stated_idle_s`
is after how many seconds without a request the peer closes it, if it says so.
`carried_ids` has the ids of the requests that were written to it, with their
methods; each request with an id is written once at most, so a response that
names it is its response.
Data that arrives while no task waits for it is buffered, and reading is then
paused, so that at most one read is buffered. Of a long request, at most a slice
is written while the peer reads slowly. A read of very many chunks is parsed
over several turns, see `ParseTurns`; nothing more is read meanwhile.
"""

import asyncio
import ssl
from collections.abc import Iterator
from typing import Final, Self, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._address import Address
from persimmonhold.web._client_codec import ClientCodec
from persimmonhold.web._client_request import ClientRequest
from persimmonhold.web._parse_turns import ParseTurn
from persimmonhold.web._peer_timeout import PeerTimeout
from persimmonhold.web._read_protocol import ReadProtocol
from persimmonhold.web._response_body_sink import ResponseBodySink
from persimmonhold.web._response_head import ResponseHead

# The default bound on a body that is kept in memory as a whole.
MAX_BODY_BYTES: Final = 67_108_864
# After so many requests with an id, a connection carries no further one; bounds
# the memory for their ids.
_MAX_CARRIED_IDS: Final = 256
# A connection that carried a longer id is not kept; usual ids have 16 characters.
_MAX_CARRIED_ID_CHARS: Final = 128
# What is written at once; more waits until the peer has read.
_SLICE_BYTES: Final = 65_536


@final
class ClientConnection(ReadProtocol):
    """Sends one request at a time and receives its response."""

    __slots__ = (
        '_failure',
        '_sink',
        '_transport',
        '_turn',
        '_waiter',
        '_writable',
        'bytes_written',
        'carried_ids',
        'codec',
        'has_peer_closed',
        'has_received',
        'is_kept_open',
        'is_reading_paused',
        'last_read_at',
        'peer',
        'stated_idle_s',
    )

    def __init__(self, peer: Address) -> None:
        """Create a connection to `peer` that is not open yet."""
        self.peer = peer
        self.bytes_written = 0
        self.carried_ids: dict[str, str] = {}
        self.codec = ClientCodec()
        self.has_peer_closed = False
        self.has_received = False
        self.is_kept_open = True
        self.stated_idle_s: float | None = None
        self.last_read_at = 0.0
        self.is_reading_paused = False
        self._failure: Failure | None = None
        self._turn = ParseTurn(self._take_turn)
        self._sink: ResponseBodySink | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()

    @classmethod
    async def connect(
        cls,
        peer: Address,
        timeout_s: float,
        tls: ssl.SSLContext | None = None,
    ) -> Result[Self, Failure]:
        """Open a connection within `timeout_s`, see `PeerTimeout`."""
        connection = cls(peer)
        loop = asyncio.get_running_loop()
        try:
            async with PeerTimeout(timeout_s):
                await loop.create_connection(
                    lambda: connection,
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
        return Success(connection)

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be sent on this connection."""
        is_open = self._failure is None and self._transport is not None
        if not self.is_kept_open or len(self.carried_ids) >= _MAX_CARRIED_IDS:
            return False
        return is_open and self.codec.is_idle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writable.set()
        self.last_read_at = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and pass them on.

        They go to the sink or wake the waiting task; without either, they
        stay buffered and reading is paused.
        """
        self.last_read_at = asyncio.get_running_loop().time()
        self.has_received = True
        self.codec.add_received_bytes(data)
        sink = self._sink
        if sink:
            self._deliver_body(sink)
        elif self._waiter:
            self._wake_waiter()
        else:
            self.pause_reading()

    def eof_received(self) -> bool:
        """Deliver what was received, then fail: the peer ended its stream."""
        self.has_peer_closed = True
        self.codec.add_received_bytes(b'')
        if self._sink is not None:
            self._deliver_body(self._sink)
        self.mark_failed('closed by the peer')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the connection, which wakes every waiting task."""
        self._transport = None
        self.has_peer_closed = self.has_peer_closed or exc is not None
        self.mark_failed(str(exc) if exc else 'closed')

    def pause_writing(self) -> None:
        """Block the sender while the peer reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock the sender."""
        self._writable.set()

    def pause_reading(self) -> None:
        """Stop reading until `resume_reading` is called."""
        if self._transport is not None and not self.is_reading_paused:
            self.is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading; the pause does not count as time without a read.

        What was read and is not parsed yet has a turn first.
        """
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.last_read_at = asyncio.get_running_loop().time()
        if self._transport is None:
            return
        if self.codec.has_backlog:
            self._turn.request(self._transport)
        else:
            self._transport.resume_reading()

    async def send_request(
        self, request: ClientRequest
    ) -> Result[None, Failure]:
        """Write a whole request and wait until the send buffer has room.

        Ends early if the connection fails: a response may have arrived before.

        Fails without writing if the peer has sent something before: that
        belongs to no request of this connection. It also does if the request was
        written here before: its first response may arrive once more.
        """
        if not self.codec.is_idle:
            self.mark_failed('received data before the request')
        if request.request_id in self.carried_ids:
            self.mark_failed('has carried the request before')
        encoded = self.codec.encode_request(request, str(self.peer))
        failure, transport = self._failure, self._transport
        if failure is not None or transport is None:
            return Failed(
                _build_failure(self.peer, 'send', 'closed before sending')
            )
        if not encoded:
            return Failed(_build_failure(self.peer, 'send', self.codec.error))
        self.has_received = False
        if request.request_id:
            self.carried_ids[request.request_id] = request.method
            if len(request.request_id) > _MAX_CARRIED_ID_CHARS:
                self.is_kept_open = False
        for part in _split_request(encoded, request.body):
            if self._failure is None:
                self.bytes_written += len(part)
                transport.write(part)
                await self._writable.wait()
        return Success(None)

    async def receive_head(self) -> Result[ResponseHead, Failure]:
        """Wait for the head of the response and return it."""
        head = self.codec.parse_head()
        while head is None:
            failure = await self._wait_for_data('receive head')
            if failure is not None:
                return Failed(failure)
            head = self.codec.parse_head()
        self.stated_idle_s = head.keep_alive_s
        return Success(head)

    def skip_received_body(self) -> None:
        """Discard the body of the response as far as it has arrived.

        If it is complete, the connection can be reused.
        """
        self.codec.parse_body()

    async def receive_chunk(self) -> Result[bytes, Failure]:
        """Wait for the next part of the body; return b'' at its end."""
        is_long = self.codec.has_backlog
        if is_long:
            self._turn.request(self._transport)
            await self._wait_for_wakeup()
        body = self.codec.parse_body()
        if is_long:
            self.resume_reading()
        while not body and not self.codec.is_response_complete:
            failure = await self._wait_for_data('receive body')
            if failure is not None:
                return Failed(failure)
            body = self.codec.parse_body()
        return Success(body)

    async def receive_body(
        self, max_body_bytes: int = MAX_BODY_BYTES
    ) -> Result[bytes, Failure]:
        """Wait for the whole body and return it; fail if it is too large."""
        received = bytearray()
        while not self.codec.is_response_complete:
            chunk = await self.receive_chunk()
            if isinstance(chunk, Failed):
                return chunk
            received += chunk.unwrap()
            if len(received) > max_body_bytes:
                self.mark_failed('body too large')
                return Failed(
                    _build_failure(self.peer, 'receive body', 'body too large')
                )
        return Success(bytes(received))

    async def stream_body(
        self, sink: ResponseBodySink
    ) -> Result[None, Failure]:
        """Write the response body to `sink` until it ends.

        Each read is written within the read callback, without a task switch.
        """
        self._sink = sink
        self.resume_reading()
        self._deliver_body(sink)
        try:
            while self._failure is None and not self.codec.is_response_complete:
                await self._wait_for_wakeup()
        finally:
            self._sink = None
        if self.codec.is_response_complete:
            return Success(None)
        return Failed(
            self._failure or _build_failure(self.peer, 'pump', 'broken')
        )

    def mark_failed(self, detail: str) -> None:
        """Make waiting and later calls fail; the first failure is kept.

        Does not close the transport; `is_reusable` is False from now on.
        """
        if self._failure is None:
            self._failure = _build_failure(self.peer, 'receive', detail)
        self._writable.set()
        self._wake_waiter()

    def close(self) -> None:
        """Close the connection at once; this cancels a request in progress."""
        if self._transport is not None:
            self._transport.abort()

    def _deliver_body(self, sink: ResponseBodySink) -> None:
        body = self.codec.parse_body()
        if body and not sink.handle_response_chunk(body):
            self.pause_reading()
        if self.codec.error:
            self.mark_failed(self.codec.error)
        elif self.codec.is_response_complete:
            self._wake_waiter()
        elif self.codec.has_backlog and not self.is_reading_paused:
            self._turn.request(self._transport)

    def _take_turn(self) -> None:
        """Parse on, and read on once all that was read is parsed."""
        if self._failure is not None:
            return
        self.last_read_at = asyncio.get_running_loop().time()
        if self._sink is None:
            self._wake_waiter()
        elif not self.is_reading_paused:
            self._deliver_body(self._sink)
        is_blocked = self.is_reading_paused or self.codec.has_backlog
        if self._transport is not None and not is_blocked:
            self._transport.resume_reading()

    async def _wait_for_data(self, step: str) -> Failure | None:
        if self.codec.error:
            return _build_failure(self.peer, step, self.codec.error)
        if self._failure is not None:
            return _build_failure(self.peer, step, self._failure.detail)
        self.resume_reading()
        await self._wait_for_wakeup()
        return None

    async def _wait_for_wakeup(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _split_request(head: bytes, body: bytes) -> Iterator[bytes]:
    """Yield what is written at once; a short request is one part."""
    yield head + body[:_SLICE_BYTES]
    for start in range(_SLICE_BYTES, len(body), _SLICE_BYTES):
        yield body[start : start + _SLICE_BYTES]


def _build_failure(peer: Address, step: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.connection_lost,
        step=step,
        peer=str(peer),
        detail=detail,
    )
