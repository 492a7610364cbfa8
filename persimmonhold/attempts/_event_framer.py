r"""Cuts a stream of server-sent events into whole events.

Invariant: what `feed` returns, put together, is a prefix of the stream that
ends at the end of an event. A partial event is never passed on, so that a
stream which breaks can go on elsewhere after the last whole token. Events
are separated by one empty line, written as `\n\n`.
"""

from typing import Final, final

_SEPARATOR: Final = b'\n\n'
_DONE: Final = b'data: [DONE]\n\n'
_ERROR: Final = b'event: error'
_MAX_EVENT_BYTES: Final = 262_144


@final
class EventFramer:
    """Counts the tokens of the whole events that were passed on."""

    __slots__ = ('_partial', 'is_complete', 'has_failed', 'token_count')

    def __init__(self) -> None:
        """Create a cutter at the beginning of a stream."""
        self.token_count = 0
        self.is_complete = False
        self.has_failed = False
        self._partial = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take what one read brought; return the whole events."""
        received = self._partial + chunk if self._partial else chunk
        end = received.rfind(_SEPARATOR) + len(_SEPARATOR)
        if end < len(_SEPARATOR):
            self._store_partial(received)
            return b''
        self._store_partial(received[end:])
        return self._count_tokens(received[:end])

    def discard_partial(self) -> None:
        """Forget the beginning of an event whose stream broke."""
        self._partial = b''
        self.has_failed = False

    def _store_partial(self, partial: bytes) -> None:
        self._partial = partial
        if len(partial) > _MAX_EVENT_BYTES:
            self.has_failed = True

    def _count_tokens(self, events: bytes) -> bytes:
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
        """Cut at an error event: the stream breaks there."""
        if events.startswith(_ERROR):
            self.has_failed = True
            return b''
        found = events.find(_SEPARATOR + _ERROR)
        if found < 0:
            return events
        self.has_failed = True
        return events[: found + len(_SEPARATOR)]
