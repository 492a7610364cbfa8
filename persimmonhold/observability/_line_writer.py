"""Writes lines to a file descriptor without blocking."""

import os
from collections import deque
from typing import Final, final

# Holds a few seconds of log lines of a busy VM.
MAX_BUFFERED_BYTES: Final = 1_048_576


@final
class LineWriter:
    """Buffers lines that the descriptor does not accept yet, up to a limit.

    Lines beyond the limit are dropped; the next line that is written is
    preceded by their count. Writes to a descriptor that does not support
    non-blocking mode may block.
    """

    __slots__ = (
        'buffered_bytes',
        'buffered_lines',
        'descriptor',
        'dropped_count',
    )

    def __init__(self, descriptor: int) -> None:
        """Create a writer; the descriptor is set to non-blocking mode."""
        self.descriptor = descriptor
        self.buffered_lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write or buffer a line, or drop it if the buffer is full."""
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
                # The reader is slow or has closed the pipe; the lines stay
                # buffered.
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.buffered_lines[0] = line[written:]
                return
            self.buffered_lines.popleft()
