r"""Splits a stream of server-sent events at event boundaries.

Invariant: the concatenated results of `feed` are a prefix of the stream that
ends at an event boundary. A partial event is never passed on, so that a
broken stream can be resumed at another upstream after the last complete
token. Events are separated by one empty line, written as `\n\n`.
"""

from typing import Final, final

_SEPARATOR: Final = b'\n\n'
_DONE: Final = b'data: [DONE]\n\n'
_ERROR: Final = b'event: error'
_MAX_EVENT_BYTES: Final = 262_144


@final
class EventFramer:
    """Passes on complete events and counts their tokens.

    `is_complete` is set by the `[DONE]` event, `has_failed` by an error event
    or an event longer than `_MAX_EVENT_BYTES`.
    """

    __slots__ = ('_partial_event', 'has_failed', 'is_complete', 'token_count')

    def __init__(self) -> None:
        """Create a framer at the beginning of a stream."""
        self.token_count = 0
        self.is_complete = False
        self.has_failed = False
        self._partial_event = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are now complete."""
        received = self._partial_event + chunk if self._partial_event else chunk
        end = received.rfind(_SEPARATOR) + len(_SEPARATOR)
        if end < len(_SEPARATOR):
            self._store_partial(received)
            return b''
        self._store_partial(received[end:])
        return self._process_events(received[:end])

    def discard_partial(self) -> None:
        """Discard the incomplete event and clear `has_failed`.

        Prepares the framer for the stream of a further attempt.
        """
        self._partial_event = b''
        self.has_failed = False

    def _store_partial(self, partial: bytes) -> None:
        """Store an incomplete event; the stream fails if it is too long."""
        self._partial_event = partial
        if len(partial) > _MAX_EVENT_BYTES:
            self.has_failed = True

    def _process_events(self, events: bytes) -> bytes:
        """Count the tokens of complete events; return the events to pass on.

        Every event counts as one token, except `[DONE]`.
        """
        if _ERROR in events:
            events = self._truncate_at_error(events)
        self.token_count += events.count(b'\ndata:') + events.startswith(
            b'data:'
        )
        if events.endswith(_DONE):
            self.token_count -= 1
            self.is_complete = True
        return events

    def _truncate_at_error(self, events: bytes) -> bytes:
        """Return the events before the first error event.

        Sets `has_failed` if there is an error event, else returns all events.
        """
        if events.startswith(_ERROR):
            self.has_failed = True
            return b''
        found = events.find(_SEPARATOR + _ERROR)
        if found < 0:
            return events
        self.has_failed = True
        return events[: found + len(_SEPARATOR)]
