"""Tells whether a stream of server-sent events ended between two events.

An event ends with an empty line; a line ends with LF, CRLF or CR. A stream
whose last event lacks the empty line was broken off.
"""

from typing import Final, final

_EMPTY_LINE: Final = b'\n\n'
_MAX_SEPARATOR_BYTES: Final = len(b'\r\n\r\n')


@final
class EventBoundary:
    """Follows a stream as it is received; keeps only its last bytes."""

    __slots__ = ('_tail', 'has_bytes')

    def __init__(self) -> None:
        """Create the boundary at the start of a stream."""
        self.has_bytes = False
        self._tail = _EMPTY_LINE

    @property
    def is_within_event(self) -> bool:
        """Tell whether the last event is incomplete."""
        tail = self._tail.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        return not tail.endswith(_EMPTY_LINE)

    def is_broken_off(self, *, ends_with_connection: bool) -> bool:
        """Tell whether a body that has ended is an incomplete stream.

        If only the end of the connection marked the end of the body, a stream
        without any event is incomplete, too.
        """
        return self.is_within_event or (
            ends_with_connection and not self.has_bytes
        )

    def feed(self, chunk: bytes) -> None:
        """Add received bytes."""
        if chunk:
            self.has_bytes = True
            self._tail = (self._tail + chunk)[-_MAX_SEPARATOR_BYTES:]
