"""Writes lines to a descriptor without ever waiting for its reader."""

import os
from collections import deque
from typing import Final, final

MAX_BUFFERED_BYTES: Final = 1_048_576  # some seconds of lines on a busy VM


@final
class LineWriter:
    """Keeps what the reader does not take, up to a bound.

    Lines beyond it are left out; the next line that is written tells how
    many. Descriptors that do not support it are written to as they are.
    """

    __slots__ = (
        'buffered_bytes',
        'buffered_lines',
        'descriptor',
        'dropped_count',
    )

    def __init__(self, descriptor: int) -> None:
        """Make writes to the descriptor return at once."""
        self.descriptor = descriptor
        self.buffered_lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it, or leave it out."""
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            self._flush()
            return
        if self.dropped_count:
            line = b'{"event":"lines_left_out","count":%d}\n%s' % (
                self.dropped_count,
                line,
            )
            self.dropped_count = 0
        self.buffered_lines.append(line)
        self.buffered_bytes += len(line)
        self._flush()

    def _flush(self) -> None:
        while self.buffered_lines:
            line = self.buffered_lines[0]
            try:
                written = os.write(self.descriptor, line)
            except (BlockingIOError, BrokenPipeError):
                # The reader is behind or gone; the lines wait for it.
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffered_lines[0] = line[written:]
                return
            self.buffered_lines.popleft()
