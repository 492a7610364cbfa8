"""Cuts the bytes of an event stream between events.

Invariant: what was returned is a sequence of whole events, each of them
once and in order, also where a second upstream goes on after the first.
"""

from typing import Final, final

_END: Final = b'\n\n'
_ID: Final = b'id:'


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
        end = received.rfind(_END)
        if end < 0:
            self.partial = received
            return b''
        whole = received[: end + len(_END)]
        self.partial = received[end + len(_END) :]
        self._note_last(whole)
        return whole

    def discard_partial(self) -> None:
        """Drop the part of an event that a broken stream has left."""
        self.partial = b''

    def _note_last(self, whole: bytes) -> None:
        start = whole.rfind(_END, 0, -len(_END))
        event = whole[start + len(_END) :] if start >= 0 else whole
        for line in event.split(b'\n'):
            if line.startswith(_ID):
                text = line[len(_ID) :].strip()
                self.last_id = text.decode('ascii', 'replace')
