"""Writes the response to one caller.

Invariant: a response starts at most once, and one that cannot be completed
ends with an aborted connection, so that it is never mistaken for complete.
"""

from collections.abc import Callable
from typing import Final, final

from persimmonhold.forwarding._relay_head import build_refusal_proof
from persimmonhold.web import (
    Exchange,
    Headers,
    ResponseHead,
    encode_headers,
    select_end_to_end_headers,
)

_BODILESS: Final = frozenset((204, 304))  # statuses without a body
_ABANDONED: Final = 'abandoned'  # until a response is sent


@final
class ForwardResponseWriter:
    """Sends a caller the response of an upstream, or a refusal by this entry.

    `outcome` and `status` are those of the response, for log and metrics.
    """

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
        """Create the writer of a response that has not started."""
        self.exchange = exchange
        self.clock = clock
        self.first_write_at = 0.0
        self.last_write_at = 0.0
        self.longest_gap_s = 0.0
        self.outcome = _ABANDONED
        self.status = 0

    @property
    def has_begun(self) -> bool:
        """Tell whether the response head was sent."""
        return self.exchange.has_response_started

    def settle_outcome(self) -> str:
        """Return the outcome; `cut` if the caller still waits for an answer."""
        if self.outcome == _ABANDONED and self.exchange.was_cut:
            self.outcome = 'cut'
        return self.outcome

    def write_head(
        self, head: ResponseHead, body_size_bytes: int | None
    ) -> None:
        """Send the response head; None stands for a body of unknown size."""
        headers = select_end_to_end_headers(head.headers)
        if body_size_bytes is not None and head.status not in _BODILESS:
            length = self._content_length(head, body_size_bytes)
            headers += encode_headers({'content-length': length})
        self.status = head.status
        self.exchange.start_response_nowait(head.status, headers)

    def write_body_chunk(
        self, chunk: bytes, on_writable: Callable[[], None]
    ) -> bool:
        """Send a part of the body; return whether the next one may follow.

        If not, the connection calls `on_writable` when it can take more.
        """
        self._record_write_time()
        self.exchange.on_writable = on_writable
        return self.exchange.write_body_chunk(chunk)

    def finish_response(self) -> None:
        """End a response whose body was sent in full."""
        self.exchange.finish_response_nowait()
        self.outcome = 'answered'

    def write_complete_response(self, head: ResponseHead, body: bytes) -> None:
        """Send the head and the body of an upstream's response, and end it."""
        self._record_write_time()
        self.write_head(head, len(body))
        if body and self.exchange.head.method != 'HEAD':
            self.exchange.write_body_chunk(body)
        self.finish_response()

    def write_refusal(self, status: int, reason: str, headers: Headers) -> None:
        """Send a response that refuses the request with a reason."""
        self.status = status
        self.outcome = reason
        body = b'{"error":"%s"}' % reason.encode('ascii')
        proof = build_refusal_proof(self.exchange.head, status, reason)
        self.exchange.respond_nowait(status, body, headers=(*headers, *proof))

    def abort_response(self, reason: str) -> None:
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

    def _content_length(self, head: ResponseHead, body_size_bytes: int) -> str:
        """Return the content length; for HEAD, that which the upstream sent."""
        if self.exchange.head.method == 'HEAD':
            return head.header('content-length') or '0'
        return str(body_size_bytes)
