"""JSON lines by eliot.

Bodies, credentials and idempotency keys are never passed to the log.
"""

import sys
from pathlib import Path
from types import TracebackType
from typing import IO, Self, final

import eliot

from persimmonhold.observability._log_level import LogLevel


@final
class LogOutput:
    """Owns the destination of log lines at or above a level."""

    __slots__ = ('_destination', '_file', '_level', '_path')

    def __init__(self, level: LogLevel, path: str) -> None:
        """Create an output; an empty path means the error stream."""
        self._level = level
        self._path = path
        self._file: IO[str] | None = None
        self._destination: eliot.FileDestination | None = None

    def __enter__(self) -> Self:
        """Open the destination; raises OSError where it cannot be had."""
        if self._path:
            self._file = Path(self._path).open('a', encoding='utf-8')
        stream = self._file or sys.stderr
        self._destination = eliot.FileDestination(file=stream)
        eliot.add_destinations(self._write)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the destination."""
        eliot.remove_destination(self._write)
        if self._file is not None:
            self._file.close()

    def _write(self, message: dict[str, object]) -> None:
        level = LogLevel(str(message.get('level', LogLevel.info)))
        if self._destination and level.rank >= self._level.rank:
            self._destination(message)


def log_event(
    event: str,
    level: LogLevel = LogLevel.info,
    **fields: object,
) -> None:
    """Write one line."""
    eliot.log_message(message_type=event, level=str(level), **fields)
