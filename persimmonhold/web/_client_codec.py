"""HTTP/1.1 encoding and parsing for a client connection, based on h11.

Invariant: after an error, `error` describes it, and the codec returns only
data that it had parsed completely before the error.
"""

from typing import Final, TypeAlias, final

import h11

from persimmonhold.web._client_request import ClientRequest
from persimmonhold.web._parse_turns import MAX_EVENTS_PER_TURN
from persimmonhold.web._response_head import ResponseHead

_MAX_HEAD_BYTES: Final = 65_536
_MAX_INFORMATIONAL_RESPONSES: Final = 16  # before one response
_MAX_STATUS: Final = 599  # the parser accepts any three digits from 200
_BODILESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
_CHUNK_LINE_END_BYTES: Final = 2
_Event: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


@final
class ClientCodec:
    """Encodes requests and parses the responses to them.

    `has_backlog` tells whether `parse_body` left received bytes unparsed;
    `method` is that of the last request.
    """

    __slots__ = (
        '_informational_count',
        '_parser',
        '_unparsed_bytes',
        'error',
        'has_backlog',
        'is_response_complete',
        'method',
    )

    def __init__(self) -> None:
        """Create a codec without a request in progress."""
        self.has_backlog = False
        self.is_response_complete = False
        self.error = ''
        self.method = ''
        self._unparsed_bytes = 0
        self._informational_count = 0
        self._parser = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        )

    @property
    def is_idle(self) -> bool:
        """Whether a request can be sent, with no received bytes left over."""
        if self._parser.our_state is not h11.IDLE:
            return False
        return self._parser.trailing_data == (b'', False)

    def encode_request(self, request: ClientRequest, host: str) -> bytes:
        """Return the bytes of the head of a request; its body follows it.

        Returns b'' and sets `error` if the request is invalid.
        """
        self.is_response_complete = False
        self.method = request.method
        self._informational_count = 0
        try:
            return self._encode_events(request, host)
        except h11.LocalProtocolError as error:
            self.error = str(error)
            return b''

    def expect_another_response(self) -> bool:
        """Parse what follows a complete response as one to the same request.

        Returns False if the peer will send none on this connection.
        """
        if self._parser.our_state is not h11.IDLE:
            return False
        # Nothing is written: h11 takes a response only after a request, and
        # only the method of that matters for the response.
        head = h11.Request(
            method=self.method, target='/', headers=[('host', '-')]
        )
        self._parser.send(head)
        self._parser.send(h11.EndOfMessage())
        self.is_response_complete = False
        self._informational_count = 0
        return True

    def add_received_bytes(self, received: bytes) -> None:
        """Add bytes from the peer; empty bytes mark the end of its stream."""
        self._unparsed_bytes += len(received)
        self._parser.receive_data(received)

    def parse_head(self) -> ResponseHead | None:
        """Return the head of the response, or None if it is incomplete.

        Skips informational responses (1xx), up to a limit. A status that HTTP
        does not have is an error.
        """
        event = self._next_event()
        while isinstance(event, h11.InformationalResponse):
            self._informational_count += 1
            if self._informational_count > _MAX_INFORMATIONAL_RESPONSES:
                self.error = 'too many informational responses'
                return None
            event = self._next_event()
        if not isinstance(event, h11.Response):
            return None
        if event.status_code > _MAX_STATUS:
            self.error = f'invalid status {event.status_code}'
            return None
        return ResponseHead(
            status=event.status_code,
            headers=tuple(event.headers),
        )

    def parse_body(self) -> bytes:
        """Return the body bytes received since the last call; may be empty.

        Most reads contain exactly one chunk; h11 is not called again once
        all received bytes are consumed. After a bounded number of chunks the
        rest is left for the next call, see `has_backlog`.
        """
        chunks: list[bytes] = []
        self.has_backlog = False
        while not self.is_response_complete and self._parse_part(chunks):
            if len(chunks) >= MAX_EVENTS_PER_TURN:
                self.has_backlog = True
                break
        return b''.join(chunks)

    def _parse_part(self, chunks: list[bytes]) -> bool:
        """Parse one event; return whether more bytes may be unparsed."""
        event = self._next_event()
        if isinstance(event, h11.Data):
            chunks.append(event.data)
            return not self._is_input_consumed(event)
        if isinstance(event, h11.EndOfMessage):
            self._end_response()
            return False
        self._unparsed_bytes = len(self._parser.trailing_data[0])
        return False

    def _is_input_consumed(self, event: h11.Data) -> bool:
        """Tell whether a chunk consumed all received bytes.

        The line end after the chunk may still be unparsed; h11 does not report
        it as an event.
        """
        if not event.chunk_end:
            return False
        size = len(event.data)
        framing = len(b'%x\r\n\r\n' % size) if event.chunk_start else 0
        self._unparsed_bytes -= size + framing
        return self._unparsed_bytes <= _CHUNK_LINE_END_BYTES

    def _encode_events(self, request: ClientRequest, host: str) -> bytes:
        own = [(b'host', (request.host or host).encode('latin-1'))]
        if request.body or request.method not in _BODILESS_METHODS:
            length = str(len(request.body)).encode('ascii')
            own.append((b'content-length', length))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[*own, *request.headers],
        )
        encoded = self._parser.send(head) or b''
        if request.body:
            # With a length, the body is sent as it is.
            self._parser.send(h11.Data(data=request.body))
        self._parser.send(h11.EndOfMessage())
        return encoded

    def _next_event(self) -> _Event | None:
        if self.error:
            return None
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            self.error = str(error)
            return None
        if isinstance(event, h11.ConnectionClosed):
            self.error = 'closed by the peer'
        return event

    def _end_response(self) -> None:
        self.is_response_complete = True
        done = (h11.DONE, h11.DONE)
        states = (self._parser.our_state, self._parser.their_state)
        if states == done:
            self._parser.start_next_cycle()
