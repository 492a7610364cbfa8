"""Structured logs as JSON lines, by eliot.

A reader of standard output that stops reading does not block the process:
lines that exceed the buffer are dropped and counted. Bodies, credentials and
idempotency keys are never passed to the log.
"""

import sys
from pathlib import Path
from types import TracebackType
from typing import IO, Final, Self, final

import eliot
import msgspec

from persimmonhold.observability._line_writer import LineWriter
from persimmonhold.observability._log_level import LogLevel

STANDARD_OUTPUT: Final = '-'
_ELIOT_FIELDS: Final = frozenset((
    'message_type',
    'task_level',
    'task_uuid',
    'timestamp',
))


@final
class LogOutput:
    """Writes log lines at or above a level to one destination.

    Standard output gets the lines of `_encode_line`; a file and standard
    error get the messages as eliot formats them.
    """

    __slots__ = ('_destination', '_file', '_level', '_path', '_writer')

    def __init__(self, level: LogLevel, path: str) -> None:
        """Create an output to the file `path`, to which lines are appended.

        An empty path stands for standard error, `-` for standard output.
        """
        self._level = level
        self._path = path
        self._file: IO[str] | None = None
        self._destination: eliot.FileDestination | None = None
        self._writer: LineWriter | None = None

    def __enter__(self) -> Self:
        """Open the destination and register it; raises `OSError` on failure."""
        if self._path == STANDARD_OUTPUT:
            self._writer = LineWriter(sys.stdout.fileno())
            eliot.add_destinations(self._write_line)
            return self
        if self._path:
            self._file = Path(self._path).open('a', encoding='utf-8')
        stream = self._file or sys.stderr
        self._destination = eliot.FileDestination(file=stream)
        eliot.add_destinations(self._write_with_eliot)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Remove the destination and close its file."""
        if self._writer is not None:
            eliot.remove_destination(self._write_line)
            return
        eliot.remove_destination(self._write_with_eliot)
        if self._file is not None:
            self._file.close()

    def _write_with_eliot(self, message: dict[str, object]) -> None:
        level = LogLevel(str(message.get('level', LogLevel.info)))
        if self._destination and level.rank >= self._level.rank:
            self._destination(message)

    def _write_line(self, message: dict[str, object]) -> None:
        level = LogLevel(str(message.get('level', LogLevel.info)))
        if self._writer is not None and level.rank >= self._level.rank:
            self._writer.write(_encode_line(message))


def _encode_line(message: dict[str, object]) -> bytes:
    """Return a message as one JSON line, without the task fields of eliot."""
    line = {
        'at': message['timestamp'],
        'event': message.get('message_type', ''),
        **{
            name: text
            for name, text in message.items()
            if name not in _ELIOT_FIELDS
        },
    }
    return msgspec.json.encode(line, enc_hook=str) + b'\n'


def log_event(
    event: str,
    level: LogLevel = LogLevel.info,
    **fields: object,
) -> None:
    """Log one event to every open `LogOutput` whose level admits it."""
    eliot.log_message(message_type=event, level=str(level), **fields)
