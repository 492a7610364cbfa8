"""The answer that an attempt gives to the caller."""

from typing import Final, final

from persimmonhold.attempts._event_framer import EventFramer
from persimmonhold.attempts._request_properties import RequestProperties
from persimmonhold.attempts._upstream_response_head import UpstreamResponseHead
from persimmonhold.messages import CallOutcome

_STATUS_OK: Final = 200
_RETRIABLE_STATUSES: Final = frozenset((502, 503, 504))
_MAX_BUFFERED_BYTES: Final = 262_144


@final
class RelayedResponse:
    """Head and body as far as they are known.

    `held` is the part of the body that is kept back until it is whole, so
    that a break before its end can still be retried or refused in full.
    """

    __slots__ = (
        '_properties',
        'event_framer',
        'head',
        'buffered_body',
        'is_started',
    )

    def __init__(self, properties: RequestProperties) -> None:
        """Create the answer to a request that was not sent yet."""
        self.is_started = False
        self.head = UpstreamResponseHead(status=0)
        self.buffered_body = bytearray()
        self.event_framer = EventFramer()
        self._properties = properties

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the answer can be resumed between its events."""
        return self._properties.is_streamed and self.head.is_event_stream

    @property
    def is_over_buffer_limit(self) -> bool:
        """Tell whether the held part exceeds its bound."""
        return len(self.buffered_body) > _MAX_BUFFERED_BYTES

    @property
    def outcome(self) -> CallOutcome:
        """The record of a whole answer."""
        return CallOutcome(
            status=self.head.status,
            media_type=self.head.media_type,
            body=bytes(self.buffered_body),
        )

    @property
    def status_outcome(self) -> CallOutcome:
        """The record of an answer whose body is too long to be kept."""
        return CallOutcome(
            status=self.head.status,
            media_type=self.head.media_type,
            body=b'',
            body_stored=False,
        )

    def is_failure(self, head: UpstreamResponseHead) -> bool:
        """Tell whether a head says that the attempt failed."""
        if self.is_started:
            return head.status != _STATUS_OK or not head.is_event_stream
        return (
            self._properties.is_idempotent
            and head.status in _RETRIABLE_STATUSES
        )

    def is_buffered(self, head: UpstreamResponseHead) -> bool:
        """Tell whether the body is kept back until it is whole."""
        if self._properties.is_streamed and head.is_event_stream:
            return False
        if self._properties.has_claimable_key or self._properties.is_generation:
            return True
        length = head.content_length
        return length is not None and length <= _MAX_BUFFERED_BYTES

    def take_buffered_body(self) -> bytes:
        """Return the held part and forget it."""
        body = bytes(self.buffered_body)
        self.buffered_body.clear()
        return body

    def discard_undelivered(self) -> None:
        """Forget what the caller was not given."""
        self.buffered_body.clear()
        self.event_framer.discard_partial()
