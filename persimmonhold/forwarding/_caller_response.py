"""The answer to one caller.

Invariant: an answer is begun once, and one that cannot be finished ends with
a broken connection, so that it never looks whole.
"""

from collections.abc import Callable
from typing import Final, final

from persimmonhold.web import (
    Exchange,
    Headers,
    ResponseHead,
    encode_headers,
    end_to_end_headers,
)

_BODILESS: Final = frozenset((204, 304))


@final
class CallerResponse:
    """Writes an answer of an upstream, or one of the system's own."""

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
        """Create a reply that has not begun."""
        self.exchange = exchange
        self.clock = clock
        self.first_write_at = 0.0
        self.last_write_at = 0.0
        self.longest_gap_s = 0.0
        self.outcome = 'abandoned'
        self.status = 0

    @property
    def has_begun(self) -> bool:
        """Tell whether the head was sent."""
        return self.exchange.started

    def start(self, head: ResponseHead, body_bytes: int | None) -> None:
        """Send the head of an answer; None is for a body of unknown size."""
        headers = end_to_end_headers(head.headers)
        if body_bytes is not None and head.status not in _BODILESS:
            length = self._announced(head, body_bytes)
            headers += encode_headers({'content-length': length})
        self.status = head.status
        self.exchange.start_now(head.status, headers)

    def write(self, chunk: bytes, on_writable: Callable[[], None]) -> bool:
        """Send a part of the body; False asks to wait for `on_writable`."""
        self._note_time()
        self.exchange.on_writable = on_writable
        return self.exchange.write(chunk)

    def finish(self) -> None:
        """End an answer that is whole."""
        self.exchange.finish_now()
        self.outcome = 'answered'

    def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer of an upstream."""
        self._note_time()
        self.start(head, len(body))
        if body and self.exchange.head.method != 'HEAD':
            self.exchange.write(body)
        self.finish()

    def refuse(self, status: int, reason: str, headers: Headers) -> None:
        """Answer that the request is not served."""
        self.status = status
        self.outcome = reason
        body = b'{"error":"%s"}' % reason.encode('ascii')
        self.exchange.respond_now(status, body, headers=headers)

    def abort(self, reason: str) -> None:
        """Break an answer that cannot be finished."""
        self.outcome = reason
        self.exchange.abort()

    def _note_time(self) -> None:
        now = self.clock()
        if self.first_write_at:
            gap_s = now - self.last_write_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        else:
            self.first_write_at = now
        self.last_write_at = now

    def _announced(self, head: ResponseHead, body_bytes: int) -> str:
        if self.exchange.head.method == 'HEAD':
            return head.header('content-length') or '0'
        return str(body_bytes)
