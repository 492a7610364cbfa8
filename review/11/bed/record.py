"""The record of a case, and its exit code."""

import os
import signal
import sys
import time
from pathlib import Path
from types import FrameType
from typing import Final

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.note(f'trouble: {self.has_trouble}')
        # Leaves the contexts, so that nothing that was started goes on.
        signal.signal(signal.SIGTERM, _leave)

    def note(self, text: str) -> None:
        """Write a line."""
        at_s = time.monotonic() - self.began_at
        self.file.write(f'{at_s:8.3f} {text}\n')
        self.file.flush()

    def end(self, code: int, reason: str) -> None:
        """Write the result and exit with its code."""
        self.note(f'result {code}: {reason}')
        print(f'result {code}: {reason}')
        self.file.close()
        sys.exit(code)


def _leave(number: int, frame: FrameType | None) -> None:
    sys.exit(NOT_RUN)
