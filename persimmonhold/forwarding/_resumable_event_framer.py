"""Splits an event stream at event boundaries.

Invariant: the returned bytes are a sequence of complete events, each of them
once and in order, also where a second upstream resumes a broken stream.
"""

import re
from typing import Final, Self, final

_SEPARATOR: Final = b'\n\n'
# The last empty line, where lines end with LF, CRLF or CR.
_LAST_SEPARATOR: Final = re.compile(rb'.*(?:\r\n|\n|\r(?!\n)){2}', re.DOTALL)
_ID_FIELD: Final = b'id:'
_COMMENT: Final = b':'
_MAX_EVENT_BYTES: Final = 262_144  # usual events have some hundred bytes


@final
class ResumableEventFramer:
    """Buffers an incomplete event until the rest of it arrives.

    `last_id` is the id of the last event that was returned. `goes_on` is
    cleared if a stream that should resume the one before does not: its first
    event has no id, or not a later one. Nothing of it is returned.
    """

    __slots__ = (
        '_has_open_line_end',
        '_has_returned_events',
        '_is_resuming',
        'goes_on',
        'last_id',
        'partial',
    )

    def __init__(self) -> None:
        """Create a framer at the start of a stream."""
        self.partial = b''
        self.last_id = ''
        self.goes_on = True
        self._has_open_line_end = False
        self._has_returned_events = False
        self._is_resuming = False

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
        return self._pass_on(received[:end])

    @property
    def is_event_too_long(self) -> bool:
        """Tell whether the incomplete event exceeds the bound on its size."""
        return len(self.partial) > _MAX_EVENT_BYTES

    @property
    def can_resume(self) -> bool:
        """Tell whether an upstream can be told where to go on."""
        return bool(self.last_id) or not self._has_returned_events

    def create_successor(self) -> Self:
        """Return a framer for another stream, which resumes this one."""
        successor = type(self)()
        successor.last_id = self.last_id
        successor._has_returned_events = self._has_returned_events
        successor._is_resuming = bool(self.last_id)
        return successor

    def discard_partial(self) -> None:
        """Discard the incomplete event at the end of a broken stream.

        The next bytes are those of another stream, which resumes this one.
        """
        self.partial = b''
        self.goes_on = True
        self._has_open_line_end = False
        self._is_resuming = bool(self.last_id)

    def _pass_on(self, events: bytes) -> bytes:
        """Return complete events unless they fail to resume the stream."""
        if not events or not self.goes_on:
            return b''
        if self._is_resuming:
            first_id = _find_first_id(events)
            self.goes_on = _is_later(first_id, self.last_id)
            if not self.goes_on:
                return b''
            self._is_resuming = False
        self._has_returned_events = True
        self._record_last_id(events)
        return events

    def _record_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(_ID_FIELD):
                text = line[len(_ID_FIELD) :].strip()
                self.last_id = text.decode('ascii', 'replace')
                return


def _find_first_id(events: bytes) -> str:
    """Return the id of the first event with fields; '' if it has none."""
    has_fields = False
    for line in events.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('ascii', 'replace')
        if not line and has_fields:
            return ''
        has_fields = has_fields or not line.startswith(_COMMENT) and bool(line)
    return ''


def _is_later(event_id: str, last_id: str) -> bool:
    """Tell whether an event may follow the one with the last id."""
    if event_id.isdecimal() and last_id.isdecimal():
        return int(event_id) > int(last_id)
    return event_id not in {'', last_id}


def _find_last_end(received: bytes) -> int:
    """Return the index after the last complete event; 0 without one."""
    if b'\r' not in received:
        found = received.rfind(_SEPARATOR)
        return 0 if found < 0 else found + len(_SEPARATOR)
    matched = _LAST_SEPARATOR.match(received)
    return 0 if matched is None else matched.end()
