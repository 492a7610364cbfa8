"""A connection of an HTTP server.

Invariants: one exchange is served at a time; a disconnect of the peer
cancels the task that serves it; pausing the transport bounds the bytes that
wait to be parsed; a request is begun only after the peer has read most of the
response before it; no timer outlives the connection. A peer that closes its
sending half counts as disconnected, since a process that dies looks the
same.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final, final

import h11

from persimmonhold.failures import FailureKind
from persimmonhold.web._bounds import HttpBounds
from persimmonhold.web._close_cause import CloseCause
from persimmonhold.web._connection_buffers import ConnectionBuffers
from persimmonhold.web._connection_timer import ConnectionTimer
from persimmonhold.web._exchange import Exchange
from persimmonhold.web._exchange_handler import ExchangeHandler
from persimmonhold.web._head_field_counter import HeadFieldCounter
from persimmonhold.web._memory_budget import MemoryBudget
from persimmonhold.web._parse_turns import (
    MAX_EVENTS_PER_TURN,
    ParseTurn,
)
from persimmonhold.web._read_protocol import MAX_READ_BYTES, ReadProtocol
from persimmonhold.web._reader_watch import ReaderWatch
from persimmonhold.web._rejection import Rejection
from persimmonhold.web._request_head import RequestHead

_BAD_REQUEST: Final = 400
_HEAD_TOO_LARGE: Final = 431
_INTERNAL_ERROR: Final = 500
# Time in which an idle connection that is to be closed reads what its peer had
# sent before.
_LAST_READ_S: Final = 0.1
_BODILESS: Final = frozenset((204, 304))  # statuses without a body
_CLOSE_HEADER: Final = (b'connection', b'close')


@final
class ServerConnection(ReadProtocol):
    """Parses requests with h11 and serves them through a handler.

    `close_cause` is None while the connection is open.
    """

    def __init__(
        self,
        handler: ExchangeHandler,
        bounds: HttpBounds,
        budget: MemoryBudget,
        on_close: Callable[['ServerConnection'], None],
    ) -> None:
        """Create a connection that calls `on_close` when it is closed."""
        self.bounds = bounds
        self.budget = budget
        self.buffers = ConnectionBuffers(self, budget)
        self.is_close_announced = False
        self.close_cause: CloseCause | None = None
        self.on_open: Callable[[ServerConnection], None] | None = None
        self.is_refused = False
        self._handler = handler
        self._on_close = on_close
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=bounds.max_head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self.exchange: Exchange | None = None
        self._fields = HeadFieldCounter()
        self._task: asyncio.Task[None] | None = None
        self.timer = ConnectionTimer()
        self._reader_watch = ReaderWatch(self)
        self._is_idle = True
        self._is_lingering = False
        self._is_rejecting = False
        self._is_draining = False
        self._is_next_delayed = False
        self._turn = ParseTurn(self._take_turn)
        self._peer = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for the first request head, or refuse the peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writable.set()
        self.buffers.transport = transport
        if self.on_open is not None:
            self.on_open(self)
        if self.is_refused:
            transport.abort()
            return
        peer = transport.get_extra_info('peername')
        self._peer = f'{peer[0]}:{peer[1]}' if peer else ''
        timeout_s = self.bounds.head_timeout_s
        if self._is_draining:
            timeout_s = _LAST_READ_S
        self.timer.start(timeout_s, self._close)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and act on them."""
        if self._is_lingering:
            return
        if self.exchange is None and self._is_idle:
            # The timer covers the whole head, so that a sender which sends
            # it byte by byte cannot extend it.
            self._is_idle = False
            self.timer.start(
                self.bounds.head_timeout_s,
                partial(self._reject, self.bounds.slow_head_status),
            )
        if self.exchange is None:
            self.buffers.hold_input(self.buffers.input_bytes + len(data))
            if self._fields.count(data) > self.bounds.max_header_fields:
                self._reject(_HEAD_TOO_LARGE)
                return
        self._parser.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        """Close on the end of the peer's stream."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task of the request in progress and call `on_close`."""
        self.timer.stop()
        self._transport = None
        self.close_cause = self.close_cause or CloseCause.peer
        self.buffers.close()
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        self._on_close(self)

    def pause_writing(self) -> None:
        """Block senders while the peer reads slowly, for a limited time."""
        self._writable.clear()
        self._reader_watch.wait()
        self.buffers.pause_output()

    def resume_writing(self) -> None:
        """Unblock senders, or begin the next request that was delayed."""
        self._writable.set()
        self.buffers.resume_output()
        exchange = self.exchange
        if self._is_next_delayed:
            self._is_next_delayed = False
            self.timer.stop()
            self._start_next_cycle()
            return
        if exchange is None:
            return  # the timer is that of an idle or closing connection
        self.timer.stop()
        if exchange.on_writable is not None:
            exchange.on_writable()

    def write_event(self, event: h11.Event) -> bool:
        """Write a part of a response.

        Returns False if the send buffer is full or the peer is gone.
        """
        if self._transport is None:
            return False
        if isinstance(event, h11.Response):
            if self.exchange is not None and not self.exchange.is_body_wanted:
                _skip_received_body(self._parser)
            if self._asks_to_close(event):
                event = _add_close_header(event)
        encoded = self._parser.send(event)
        if encoded:
            self._transport.write(encoded)
        return self._writable.is_set()

    async def wait_until_writable(self) -> None:
        """Wait until the send buffer has room or the connection is closed.

        The send time-out aborts the connection of a peer that does not read.
        """
        if not self._writable.is_set():
            await self._writable.wait()

    def abort(self, cause: CloseCause) -> None:
        """Close the connection at once and drop unsent bytes."""
        self._is_lingering = True
        self.close_cause = self.close_cause or cause
        if self._transport is not None:
            self._transport.abort()

    def receive_wanted_body(self) -> None:
        """Receive the body of the request, as its handler waits for it."""
        exchange = self.exchange
        if self._transport is None or exchange is None:
            return
        if exchange.body_refusal or not exchange.is_body_awaited:
            return
        if self._parser.they_are_waiting_for_100_continue:
            self.write_event(
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        self.buffers.hold_input(0)
        self._transport.resume_reading()
        self._process_events()

    def close_when_idle(self) -> None:
        """Close soon if no request is in progress, else after its response.

        A request that the peer has sent before is served.
        """
        self.is_close_announced = True
        self._is_draining = True
        if self.exchange is None and self._is_idle:
            self.timer.start(_LAST_READ_S, self._close)

    def _asks_to_close(self, response: h11.Response) -> bool:
        """Tell whether a response asks the peer to close.

        Requests that were received behind it are answered first. More of them
        may be received until a response of open length ends. It does so before
        the end of a request's body, as the rest of that is dropped.
        """
        if self._is_rejecting or self._parser.their_state is h11.SEND_BODY:
            return True
        if not self.is_close_announced or _has_open_length(response):
            return False
        return not _has_next_request(self._parser)

    def _close(self) -> None:
        """Close after the peer has read what was sent, for a limited time.

        What crosses the close stays unread, unless that could reset the
        connection while the peer reads a response that was written lately.
        """
        if self._transport is None:
            return
        if self.buffers.may_be_unread and not self._is_lingering:
            self._linger()
        else:
            self.close_cause = self.close_cause or CloseCause.finished
            self._reader_watch.wait()
            self._transport.close()

    def _process_events(self) -> None:
        """Parse what was received; a long input is parsed in several turns."""
        for _ in range(MAX_EVENTS_PER_TURN):
            if self._transport is None or self._is_lingering:
                return
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)
                return
            if not self._handle_event(event):
                return
        self._turn.request(self._transport)

    def _take_turn(self) -> None:
        exchange = self.exchange
        is_refused = exchange is not None and exchange.body_refusal is not None
        if self._transport is not None and not is_refused:
            self._transport.resume_reading()
            self._process_events()

    def _handle_event(
        self,
        event: h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED],
    ) -> bool:
        """Act on a parsed event; return whether to parse further events."""
        if isinstance(event, h11.Request):
            return self._begin_exchange(event)
        if isinstance(event, h11.Data):
            return self._receive_body(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self.exchange is not None:
                self.exchange.mark_body_complete()
            return True
        if event is h11.PAUSED and self._transport is not None:
            self._transport.pause_reading()
            self.buffers.hold_input(len(self._parser.trailing_data[0]))
        return False

    def _receive_body(self, chunk: bytes) -> bool:
        if self.exchange is None:
            return False
        self.exchange.receive_body_chunk(chunk)
        if self.exchange.body_refusal and self._transport is not None:
            self._transport.pause_reading()
        return self.exchange.body_refusal is None

    def _begin_exchange(self, request: h11.Request) -> bool:
        self.timer.stop()
        self._fields.reset()
        self.buffers.hold_input(0)
        text_bytes = _count_head_bytes(request)
        field_count = len(request.headers)
        if (
            text_bytes > self.bounds.max_head_bytes
            or field_count > self.bounds.max_header_fields
        ):
            self._reject(_HEAD_TOO_LARGE)
            return False
        self.buffers.begin_request(text_bytes, field_count)
        if _has_conflicting_framing(request):
            self._reject(_BAD_REQUEST)
            return False
        exchange = Exchange(_convert_request_head(request, self._peer), self)
        self.exchange = exchange
        if _parse_content_length(request) > self.bounds.max_body_bytes:
            exchange.refuse_body(FailureKind.refused)
        self._task = asyncio.get_running_loop().create_task(
            self._serve(exchange),
        )
        if _may_have_long_body(request) and self._transport is not None:
            # The rest waits until the handler has accepted the request.
            self._transport.pause_reading()
            self.buffers.hold_input(len(self._parser.trailing_data[0]))
            return False
        return exchange.body_refusal is None

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await self._handler.serve(exchange)
        except h11.LocalProtocolError:
            self.abort(CloseCause.error)
        finally:
            self._end_exchange(exchange)

    def _end_exchange(self, exchange: Exchange) -> None:
        self._task = None
        self.exchange = None
        exchange.on_writable = None
        exchange.discard_body()
        if self._transport is None:
            return
        self.buffers.end_response()
        if exchange.has_response_ended:
            # The timer of a peer that does not read goes on.
            self._is_next_delayed = not self._writable.is_set()
            if self._writable.is_set():
                self._start_next_cycle()
        elif exchange.has_response_started:
            self.abort(CloseCause.error)
        else:
            self._reject(_INTERNAL_ERROR)

    def _start_next_cycle(self) -> None:
        if self._transport is None:
            return
        done = (h11.DONE, h11.DONE)
        states = (self._parser.our_state, self._parser.their_state)
        # After `connection: close` the parser does not reach DONE.
        if states != done:
            self._linger()
            return
        has_next = _has_next_request(self._parser)
        self._parser.start_next_cycle()
        self.buffers.finish_request()
        self._is_idle = True
        self._transport.resume_reading()
        self.timer.start(
            _LAST_READ_S if self._is_draining else self.bounds.idle_timeout_s,
            self._close,
        )
        if has_next:
            self._is_idle = False
            self.timer.start(
                self.bounds.head_timeout_s,
                partial(self._reject, self.bounds.slow_head_status),
            )
            if self.is_close_announced:
                # Reads on before the next request is served, as its response
                # may ask to close, and would leave those behind it unread.
                asyncio.get_running_loop().call_soon(self._process_events)
            else:
                self._process_events()

    def _reject(self, status: int = _BAD_REQUEST) -> None:
        """Respond to a request that cannot be served, then close.

        If its response has begun, the connection is aborted instead.
        """
        if self._transport is None:
            return
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            is_large = status == _HEAD_TOO_LARGE
            refused = self.bounds.large_head_status if is_large else status
            self._is_rejecting = True
            _write_rejection(self, self._handler.build_rejection(refused))
        elif self.exchange is not None:
            # The request body is malformed and the response has begun.
            self.abort(CloseCause.peer)
        self._linger()

    def _linger(self) -> None:
        """Close after a short time in which received bytes are dropped.

        Closing with unread bytes would reset the connection, and the peer
        could lose the response.
        """
        if self._transport is None:
            return
        if self._is_lingering:
            self._close()
            return
        self._is_lingering = True
        self._transport.resume_reading()
        self._reader_watch.end_output(self._transport)


def _write_rejection(
    connection: ServerConnection, rejection: Rejection
) -> None:
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', str(len(rejection.body)).encode('ascii')),
        *rejection.headers,
    ]
    connection.write_event(
        h11.Response(status_code=rejection.status, headers=headers),
    )
    connection.write_event(h11.Data(data=rejection.body))
    connection.write_event(h11.EndOfMessage())


def _convert_request_head(request: h11.Request, peer: str) -> RequestHead:
    return RequestHead(
        method=request.method.decode('ascii'),
        target=request.target.decode('ascii'),
        headers=tuple(request.headers),
        peer=peer,
    )


def _add_close_header(response: h11.Response) -> h11.Response:
    return h11.Response(
        status_code=response.status_code,
        headers=[*response.headers, _CLOSE_HEADER],
    )


def _has_open_length(response: h11.Response) -> bool:
    """Tell whether a response lasts until its end is known."""
    if response.status_code in _BODILESS:
        return False
    return all(name != b'content-length' for name, _ in response.headers)


def _may_have_long_body(request: h11.Request) -> bool:
    """Tell whether the body may be longer than what one read holds."""
    if _parse_content_length(request) > MAX_READ_BYTES:
        return True
    return any(name == b'transfer-encoding' for name, _ in request.headers)


def _skip_received_body(parser: h11.Connection) -> None:
    """Drop the body of a refused request as far as it has arrived.

    If it is complete, the connection can be used for the next request.
    """
    for _ in range(MAX_EVENTS_PER_TURN):
        if parser.their_state is not h11.SEND_BODY:
            return
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return
        if not isinstance(event, h11.Data):
            return


def _has_next_request(parser: h11.Connection) -> bool:
    """Tell whether bytes were received behind a complete request."""
    return parser.their_state is h11.DONE and bool(parser.trailing_data[0])


def _count_head_bytes(request: h11.Request) -> int:
    fields = sum(len(name) + len(text) for name, text in request.headers)
    return len(request.target) + fields


def _has_conflicting_framing(request: h11.Request) -> bool:
    """Tell whether a request has both Content-Length and Transfer-Encoding.

    Another parser could then find a different end of the body.
    """
    names = {name for name, _ in request.headers}
    return {b'content-length', b'transfer-encoding'} <= names


def _parse_content_length(request: h11.Request) -> int:
    for name, text in request.headers:
        if name == b'content-length':
            return int(text)
    return 0
