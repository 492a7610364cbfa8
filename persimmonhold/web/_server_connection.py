"""A connection of an HTTP server.

Invariants: one exchange is served at a time; a peer that leaves cancels the
task that serves it; bytes that wait to be parsed are bounded by pausing the
transport.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

import h11

from persimmonhold.web._bounds import HttpBounds
from persimmonhold.web._exchange import Exchange
from persimmonhold.web._exchange_handler import ExchangeHandler
from persimmonhold.web._request_head import RequestHead

_BAD_REQUEST: Final = 400
_HEAD_TOO_LARGE: Final = 431
_INTERNAL_ERROR: Final = 500


@final
class ServerConnection(asyncio.Protocol):
    """Parses requests with h11 and serves them through a handler."""

    def __init__(
        self,
        handler: ExchangeHandler,
        bounds: HttpBounds,
        closed: Callable[['ServerConnection'], None],
    ) -> None:
        """Create a connection that reports its end to `closed`."""
        self.bounds = bounds
        self.closing = False
        self._handler = handler
        self._closed = closed
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=bounds.max_head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._peer = ''

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being served."""
        return self._exchange is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first head."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writable.set()
        peer = transport.get_extra_info('peername')
        self._peer = f'{peer[0]}:{peer[1]}' if peer else ''
        self._wait_for_head(self.bounds.head_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        self._parser.receive_data(data)
        if self._exchange is None:
            self._wait_for_head(self.bounds.head_timeout_s)
        self._advance()

    def eof_received(self) -> bool:
        """Close on the end of the peer's stream."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the work for a peer that left."""
        self._stop_timer()
        self._transport = None
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._closed(self)

    def pause_writing(self) -> None:
        """Hold senders while the peer reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._writable.set()

    async def send(self, event: h11.Event) -> None:
        """Write an event; aborts a peer that does not read in time."""
        encoded = self._parser.send(event)
        if self._transport is None:
            raise asyncio.CancelledError
        if encoded:
            self._transport.write(encoded)
        if not self._writable.is_set():
            await self._wait_until_writable()

    def abort(self) -> None:
        """Break the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_when_idle(self) -> None:
        """Close now if idle, else after the response under way."""
        self.closing = True
        if self._exchange is None and self._transport is not None:
            self._transport.close()

    async def _wait_until_writable(self) -> None:
        try:
            async with asyncio.timeout(self.bounds.send_timeout_s):
                await self._writable.wait()
        except TimeoutError:
            self.abort()

    def _wait_for_head(self, timeout_s: float) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(timeout_s, self.abort)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _advance(self) -> None:
        while self._transport is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)
                return
            if not self._take(event):
                return

    def _take(
        self,
        event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED],
    ) -> bool:
        """Act on an event; tell whether there may be another."""
        if isinstance(event, h11.Request):
            self._begin(event)
            return True
        if isinstance(event, h11.Data):
            return self._receive_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            if self._exchange is not None:
                self._exchange.receive_end()
            return True
        if event is h11.PAUSED and self._transport is not None:
            self._transport.pause_reading()
        return False

    def _receive_body(self, chunk: bytes) -> bool:
        if self._exchange is None:
            return False
        self._exchange.receive(chunk)
        if self._exchange.body_too_large and self._transport is not None:
            self._transport.pause_reading()
        return not self._exchange.body_too_large

    def _begin(self, request: h11.Request) -> None:
        self._stop_timer()
        head = RequestHead(
            method=request.method.decode('ascii'),
            target=request.target.decode('ascii'),
            headers=tuple(request.headers),
            peer=self._peer,
        )
        self._exchange = Exchange(head, self)
        if self._parser.they_are_waiting_for_100_continue:
            self._write(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        self._task = asyncio.get_running_loop().create_task(
            self._serve(self._exchange),
        )

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await self._handler.serve(exchange)
        except h11.LocalProtocolError:
            self.abort()
        finally:
            self._end(exchange)

    def _end(self, exchange: Exchange) -> None:
        self._task = None
        self._exchange = None
        if self._transport is None:
            return
        if not exchange.started:
            self._reject(_INTERNAL_ERROR)
        elif not exchange.ended:
            self.abort()
        else:
            self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        if self._transport is None:
            return
        done = (h11.DONE, h11.DONE)
        states = (self._parser.our_state, self._parser.their_state)
        if self.closing or states != done:
            self._transport.close()
            return
        self._parser.start_next_cycle()
        self._transport.resume_reading()
        self._wait_for_head(self.bounds.idle_timeout_s)
        self._advance()

    def _reject(self, status: int) -> None:
        """Answer a request that cannot be served and close."""
        if self._transport is None:
            return
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            refusal = _BAD_REQUEST if status == _HEAD_TOO_LARGE else status
            self._write_rejection(refusal)
        if self._transport is not None:
            self._transport.close()

    def _write_rejection(self, status: int) -> None:
        body = self._handler.rejection(status)
        headers = [
            (b'content-type', b'application/problem+json'),
            (b'content-length', str(len(body)).encode('ascii')),
            (b'connection', b'close'),
            *self._handler.rejection_headers(),
        ]
        self._write(h11.Response(status_code=status, headers=headers))
        self._write(h11.Data(data=body))
        self._write(h11.EndOfMessage())

    def _write(self, event: h11.Event) -> None:
        encoded = self._parser.send(event)
        if encoded and self._transport is not None:
            self._transport.write(encoded)
