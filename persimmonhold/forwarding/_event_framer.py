"""Cuts the bytes of an event stream between events.

Invariant: what was returned is a sequence of whole events, each of them
once and in order, also where a second upstream goes on after the first.
"""

from typing import Final, final

_SEPARATOR: Final = b'\n\n'
_ID_FIELD: Final = b'id:'


@final
class EventFramer:
    """Keeps the part of an event that has not come in full.

    `last_id` is the id of the last event that was returned.
    """

    __slots__ = ('last_id', 'partial')

    def __init__(self) -> None:
        """Create a relay at the start of a stream."""
        self.partial = b''
        self.last_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that a read has completed."""
        received = self.partial + chunk
        end = received.rfind(_SEPARATOR)
        if end < 0:
            self.partial = received
            return b''
        complete = received[: end + len(_SEPARATOR)]
        self.partial = received[end + len(_SEPARATOR) :]
        self._record_last_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Drop the part of an event that a broken stream has left."""
        self.partial = b''

    def _record_last_id(self, events: bytes) -> None:
        start = events.rfind(_SEPARATOR, 0, -len(_SEPARATOR))
        event = events[start + len(_SEPARATOR) :] if start >= 0 else events
        for line in event.split(b'\n'):
            if line.startswith(_ID_FIELD):
                text = line[len(_ID_FIELD) :].strip()
                self.last_id = text.decode('ascii', 'replace')
