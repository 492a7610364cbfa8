"""Counts the fields of a request head before it is parsed."""

import re
from typing import Final, final

_HEAD_END: Final = re.compile(rb'\n\r?\n')
_MAX_PARTIAL_END_BYTES: Final = 2


@final
class HeadFieldCounter:
    """Counts the lines of a head that arrives in parts.

    The parser needs some microseconds and 200 bytes for each field, so that a
    head with too many is refused before.
    """

    __slots__ = ('_line_count', '_tail')

    def __init__(self) -> None:
        """Create the counter of a head of which nothing was received."""
        self._line_count = 0
        self._tail = b''

    def count(self, received: bytes) -> int:
        """Return the number of fields up to the end of the head so far."""
        seen = self._tail + received
        end = _HEAD_END.search(seen)
        stop = end.start() + 1 if end else len(seen)
        self._line_count += seen.count(b'\n', len(self._tail), stop)
        self._tail = b'' if end else seen[-_MAX_PARTIAL_END_BYTES:]
        return max(0, self._line_count - 1)

    def reset(self) -> None:
        """Begin with the next head."""
        self._line_count = 0
        self._tail = b''
