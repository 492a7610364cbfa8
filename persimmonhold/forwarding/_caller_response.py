"""Writes the response to one caller.

Invariant: a response starts at most once, and one that cannot be completed
ends with an aborted connection, so that it is never mistaken for complete.
"""

from collections.abc import Callable
from typing import Final, final

from persimmonhold.web import (
    Exchange,
    Headers,
    ResponseHead,
    encode_headers,
    select_end_to_end_headers,
)

_BODILESS: Final = frozenset((204, 304))


@final
class CallerResponse:
    """Writes the response of an upstream, or a refusal by this entry."""

    __slots__ = (
        'clock',
        'exchange',
        'first_write_at',
        'last_write_at',
        'longest_gap_s',
        'outcome',
        'status',
    )

    def __init__(
        self,
        exchange: Exchange,
        clock: Callable[[], float],
    ) -> None:
        """Create a response that has not started."""
        self.exchange = exchange
        self.clock = clock
        self.first_write_at = 0.0
        self.last_write_at = 0.0
        self.longest_gap_s = 0.0
        self.outcome = 'abandoned'
        self.status = 0

    @property
    def has_begun(self) -> bool:
        """Tell whether the response head was sent."""
        return self.exchange.has_response_started

    def start(self, head: ResponseHead, body_bytes: int | None) -> None:
        """Send the response head; None stands for a body of unknown size."""
        headers = select_end_to_end_headers(head.headers)
        if body_bytes is not None and head.status not in _BODILESS:
            length = self._content_length(head, body_bytes)
            headers += encode_headers({'content-length': length})
        self.status = head.status
        self.exchange.start_response_nowait(head.status, headers)

    def write(self, chunk: bytes, on_writable: Callable[[], None]) -> bool:
        """Send a part of the body; False asks to pause until `on_writable`."""
        self._record_write_time()
        self.exchange.on_writable = on_writable
        return self.exchange.write_body_chunk(chunk)

    def finish(self) -> None:
        """End a complete response."""
        self.exchange.finish_response_nowait()
        self.outcome = 'answered'

    def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response of an upstream."""
        self._record_write_time()
        self.start(head, len(body))
        if body and self.exchange.head.method != 'HEAD':
            self.exchange.write_body_chunk(body)
        self.finish()

    def refuse(self, status: int, reason: str, headers: Headers) -> None:
        """Send a response that refuses the request with a reason."""
        self.status = status
        self.outcome = reason
        body = b'{"error":"%s"}' % reason.encode('ascii')
        self.exchange.respond_nowait(status, body, headers=headers)

    def abort(self, reason: str) -> None:
        """Abort the connection of a response that cannot be completed."""
        self.outcome = reason
        self.exchange.abort_connection()

    def _record_write_time(self) -> None:
        now = self.clock()
        if self.first_write_at:
            gap_s = now - self.last_write_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_write_at = now
        self.last_write_at = now

    def _content_length(self, head: ResponseHead, body_bytes: int) -> str:
        if self.exchange.head.method == 'HEAD':
            return head.header('content-length') or '0'
        return str(body_bytes)
