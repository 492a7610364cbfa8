"""The upstream's response as it is relayed to the caller."""

from typing import Final, final

from persimmonhold.attempts._event_boundary import EventBoundary
from persimmonhold.attempts._event_framer import EventFramer
from persimmonhold.attempts._request_properties import RequestProperties
from persimmonhold.attempts._upstream_response_head import UpstreamResponseHead
from persimmonhold.messages import CallOutcome

_STATUS_OK: Final = 200
# Bad gateway, service unavailable and gateway timeout.
_RETRIABLE_STATUSES: Final = frozenset((502, 503, 504))
# A longer response body is relayed to the caller as it arrives.
_MAX_BUFFERED_BYTES: Final = 262_144


@final
class RelayedResponse:
    """The part of an upstream's response that has been received so far.

    `buffered_body` is withheld until the body is complete, so that a request
    whose connection breaks earlier can still be retried or refused.
    `is_started` is set once the head has been sent to the caller.
    """

    __slots__ = (
        '_properties',
        'buffered_body',
        'event_boundary',
        'event_framer',
        'head',
        'is_started',
    )

    def __init__(self, properties: RequestProperties) -> None:
        """Create the response to a request that was not sent yet."""
        self.is_started = False
        self.head = UpstreamResponseHead(status=0)
        self.buffered_body = bytearray()
        self.event_boundary = EventBoundary()
        self.event_framer = EventFramer()
        self._properties = properties

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the response is a stream that can be resumed.

        It can be resumed at another upstream between two events.
        """
        return self._properties.is_streamed and self.head.is_event_stream

    @property
    def is_broken_off(self) -> bool:
        """Tell whether a body that has ended is an incomplete event stream.

        A stream that can be resumed ends with an event of its own instead.
        """
        if self.is_event_stream or not self.head.is_event_stream:
            return False
        return self.event_boundary.is_broken_off(
            ends_with_connection=self.head.ends_with_connection
        )

    @property
    def is_over_buffer_limit(self) -> bool:
        """Tell whether the buffered body exceeds its limit."""
        return len(self.buffered_body) > _MAX_BUFFERED_BYTES

    @property
    def outcome(self) -> CallOutcome:
        """The outcome to record for a complete response, with its body."""
        return CallOutcome(
            status=self.head.status,
            media_type=self.head.media_type,
            body=bytes(self.buffered_body),
        )

    @property
    def outcome_without_body(self) -> CallOutcome:
        """The outcome to record where the body is too long to be stored."""
        return CallOutcome(
            status=self.head.status,
            media_type=self.head.media_type,
            body=b'',
            body_stored=False,
        )

    def is_failure(self, head: UpstreamResponseHead) -> bool:
        """Tell whether a response head means that the attempt failed.

        A response that has begun can only be continued by an event stream
        with status 200. Otherwise 502, 503 and 504 are failures if the request
        is idempotent.
        """
        if self.is_started:
            return head.status != _STATUS_OK or not head.is_event_stream
        return (
            self._properties.is_idempotent
            and head.status in _RETRIABLE_STATUSES
        )

    def is_buffered(self, head: UpstreamResponseHead) -> bool:
        """Tell whether the body after a head is buffered until complete.

        True for a request with an idempotency key or a generation, and for
        any body whose announced length fits the buffer; never for an event
        stream.
        """
        if self._properties.is_streamed and head.is_event_stream:
            return False
        if self._properties.has_claimable_key or self._properties.is_generation:
            return True
        length = head.content_length
        return length is not None and length <= _MAX_BUFFERED_BYTES

    def take_buffered_body(self) -> bytes:
        """Return the buffered body and clear the buffer."""
        body = bytes(self.buffered_body)
        self.buffered_body.clear()
        return body

    def discard_undelivered(self) -> None:
        """Discard the received bytes that were not sent to the caller."""
        self.buffered_body.clear()
        self.event_boundary = EventBoundary()
        self.event_framer.discard_partial()
