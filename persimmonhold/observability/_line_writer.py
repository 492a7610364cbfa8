"""Writes lines to a descriptor without ever waiting for its reader."""

import os
from collections import deque
from typing import Final, final

MAX_KEPT_BYTES: Final = 1_048_576  # some seconds of lines on a busy VM


@final
class LineWriter:
    """Keeps what the reader does not take, up to a bound.

    Lines beyond it are left out; the next line that is written tells how
    many. Descriptors that do not support it are written to as they are.
    """

    __slots__ = ('descriptor', 'kept', 'kept_bytes', 'left_out')

    def __init__(self, descriptor: int) -> None:
        """Make writes to the descriptor return at once."""
        self.descriptor = descriptor
        self.kept: deque[bytes] = deque()
        self.kept_bytes = 0
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it, or leave it out."""
        if self.kept_bytes + len(line) > MAX_KEPT_BYTES:
            self.left_out += 1
            self._flush()
            return
        if self.left_out:
            line = b'{"event":"lines_left_out","count":%d}\n%s' % (
                self.left_out,
                line,
            )
            self.left_out = 0
        self.kept.append(line)
        self.kept_bytes += len(line)
        self._flush()

    def _flush(self) -> None:
        while self.kept:
            line = self.kept[0]
            try:
                written = os.write(self.descriptor, line)
            except (BlockingIOError, BrokenPipeError):
                # The reader is behind or gone; the lines wait for it.
                return
            self.kept_bytes -= written
            if written < len(line):
                self.kept[0] = line[written:]
                return
            self.kept.popleft()
