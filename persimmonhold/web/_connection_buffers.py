"""What a server connection holds for its peer, and when it may be evicted."""

import asyncio
from typing import TYPE_CHECKING, Final, final

from persimmonhold.failures import FailureKind
from persimmonhold.web._buffer_holder import BufferHolder
from persimmonhold.web._buffer_share import BufferShare
from persimmonhold.web._close_cause import CloseCause
from persimmonhold.web._memory_budget import MemoryBudget

if TYPE_CHECKING:
    from persimmonhold.web._exchange import Exchange
    from persimmonhold.web._server_connection import ServerConnection

# Objects of a connection without a request: parser, transport and timer.
CONNECTION_BYTES: Final = 8192
# Objects of a parsed field besides its text, which is held twice.
_FIELD_BYTES: Final = 200
# A peer that reads takes what is sent within a few round trips.
_UNREAD_S: Final = 1.0
# Of a peer that is not evicted while it reads.
_LEAST_BYTES_PER_S: Final = 16_384
# A slow peer may need longer for what the operating system has taken.
_MAY_BE_UNREAD_S: Final = 2.0


@final
class ConnectionBuffers(BufferHolder):
    """Reserves the buffers of one connection in the budget of the process."""

    __slots__ = (
        'answered_at',
        'connection',
        'head_bytes',
        'input_bytes',
        'is_open',
        'output_bytes',
        'paused_at',
        'server',
        'share',
        'since',
        'transport',
    )

    def __init__(
        self, connection: 'ServerConnection', budget: MemoryBudget
    ) -> None:
        """Create the buffers of a connection that is not open yet."""
        self.connection = connection
        self.share = BufferShare(budget)
        self.server: object = connection
        self.is_open = False
        self.head_bytes = 0
        self.input_bytes = 0
        self.output_bytes = 0
        self.paused_at = 0.0
        self.answered_at = float('-inf')
        self.since = 0.0
        self.transport: asyncio.Transport | None = None

    @property
    def body_share(self) -> BufferShare | None:
        """The share of the body of the request in progress."""
        exchange = self.connection.exchange
        return exchange.body_share if exchange else None

    @property
    def is_waiting(self) -> bool:
        """Whether the head or the body of a request is awaited.

        A peer may still read the response to the last one for a short time.
        """
        exchange = self.connection.exchange
        if exchange is not None:
            return exchange.is_body_awaited
        is_sent = self.unsent_bytes == 0
        return is_sent or _now() - self.since >= _UNREAD_S

    @property
    def unsent_bytes(self) -> int:
        """The bytes of responses that the operating system has not taken."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def open(self, server: object) -> bool:
        """Begin to hold a connection; False if there is no room for it."""
        self.server = server
        self.since = _now()
        if not self.share.budget.try_connect(server, self):
            return False
        self.is_open = True
        self._reserve()
        return True

    def close(self) -> None:
        """Release everything; nothing is held any more."""
        self.is_open = False
        self.share.budget.disconnect(self.server, self)
        self.share.resize(0)

    def begin_request(self, text_bytes: int, field_count: int) -> None:
        """Hold the fields of a request."""
        self.since = _now()
        self.head_bytes = 2 * text_bytes + field_count * _FIELD_BYTES
        self._reserve()

    @property
    def may_be_unread(self) -> bool:
        """Whether the peer may still read the last response."""
        is_recent = _now() - self.answered_at < _MAY_BE_UNREAD_S
        return is_recent or self.unsent_bytes > 0

    def end_response(self) -> None:
        """Give the peer time to read a response that was just written."""
        self.since = _now()
        self.answered_at = self.since

    def finish_request(self) -> None:
        """Release the fields of a request whose response was sent."""
        self.since = _now()
        self.head_bytes = 0
        self.share.budget.record_finish(self.server, self)
        self._reserve()

    def hold_input(self, size_bytes: int) -> None:
        """Hold bytes that were received and not parsed."""
        if size_bytes != self.input_bytes:
            if not self.input_bytes and self.connection.exchange is None:
                self.since = _now()
            self.input_bytes = size_bytes
            self._reserve()

    def pause_output(self) -> None:
        """Hold the parts of a response that the peer has not read."""
        self.paused_at = _now()
        self.output_bytes = self.unsent_bytes
        self._reserve()

    def resume_output(self) -> None:
        """Release what the peer has read by now."""
        self.output_bytes = 0
        self._reserve()

    def compute_excess(self, now: float) -> float:
        """Return the bytes held times the seconds without progress.

        A connection that is only open holds too little to be closed for it.
        """
        if self.output_bytes:
            self._release_read(now)
        held = self.share.size_bytes - CONNECTION_BYTES
        if self.output_bytes:
            unread_s = now - self.paused_at
            return held * unread_s if unread_s >= _UNREAD_S else 0
        if not self.is_waiting and not self._has_long_pipeline:
            return 0
        body = self.body_share
        if body is not None:
            held += body.size_bytes
        return held * (now - self.since)

    def evict(self) -> None:
        """Refuse a body that is awaited; close the connection otherwise."""
        exchange: Exchange | None = self.connection.exchange
        if exchange is not None and exchange.is_body_awaited:
            exchange.refuse_body(FailureKind.overloaded)
        else:
            self.close_at_once()

    def close_at_once(self) -> None:
        """Close the connection and release what it holds."""
        exchange: Exchange | None = self.connection.exchange
        if exchange is not None:
            exchange.discard_body()
        self.close()
        self.connection.abort(CloseCause.eviction)

    @property
    def _has_long_pipeline(self) -> bool:
        """Whether more was sent behind a request than one head."""
        return self.input_bytes > self.connection.bounds.max_head_bytes

    def _release_read(self, now: float) -> None:
        """Release what the peer has read of a response, if it goes on.

        A peer that reads fast enough is not closed in favour of other requests;
        a crowd of slower ones would leave no memory for them.
        """
        read_bytes = self.output_bytes - self.unsent_bytes
        if read_bytes > 0 and read_bytes >= _LEAST_BYTES_PER_S * (
            now - self.paused_at
        ):
            self.output_bytes = self.unsent_bytes
            self.paused_at = now
            self._reserve()

    def _reserve(self) -> None:
        if not self.is_open:
            return
        held = self.head_bytes + self.input_bytes + self.output_bytes
        self.share.resize(CONNECTION_BYTES + held)


def _now() -> float:
    return asyncio.get_running_loop().time()
