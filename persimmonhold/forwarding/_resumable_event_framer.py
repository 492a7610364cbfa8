"""Splits an event stream at event boundaries.

Invariant: the returned bytes are a sequence of complete events, each of them
once and in order, also where a second upstream resumes a broken stream.
"""

import re
from typing import Final, final

_SEPARATOR: Final = b'\n\n'
# The last empty line, where lines end with LF, CRLF or CR.
_LAST_SEPARATOR: Final = re.compile(rb'.*(?:\r\n|\n|\r(?!\n)){2}', re.DOTALL)
_ID_FIELD: Final = b'id:'
_MAX_EVENT_BYTES: Final = 262_144  # usual events have some hundred bytes


@final
class ResumableEventFramer:
    """Buffers an incomplete event until the rest of it arrives.

    `last_id` is the id of the last event that was returned.
    """

    __slots__ = ('_has_open_line_end', 'last_id', 'partial')

    def __init__(self) -> None:
        """Create a framer at the start of a stream."""
        self.partial = b''
        self.last_id = ''
        self._has_open_line_end = False

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; return the events that are now complete."""
        received = self.partial + chunk
        end = _find_last_end(received)
        if self._has_open_line_end and received.startswith(b'\n'):
            # The second half of a CRLF, whose first half was passed on.
            end = max(end, 1)
        if chunk:
            self._has_open_line_end = end == len(received) and (
                received.endswith(b'\r')
            )
        self.partial = received[end:]
        self._record_last_id(received[:end])
        return received[:end]

    @property
    def is_event_too_long(self) -> bool:
        """Tell whether the incomplete event exceeds the bound on its size."""
        return len(self.partial) > _MAX_EVENT_BYTES

    def discard_partial(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self.partial = b''
        self._has_open_line_end = False

    def _record_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(_ID_FIELD):
                text = line[len(_ID_FIELD) :].strip()
                self.last_id = text.decode('ascii', 'replace')
                return


def _find_last_end(received: bytes) -> int:
    """Return the index after the last complete event; 0 without one."""
    if b'\r' not in received:
        found = received.rfind(_SEPARATOR)
        return 0 if found < 0 else found + len(_SEPARATOR)
    matched = _LAST_SEPARATOR.match(received)
    return 0 if matched is None else matched.end()
