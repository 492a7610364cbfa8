"""Parses structured log lines of VMs."""

from collections.abc import Iterable
from typing import Any, Final, final

import msgspec

_HEADER_FIELDS: Final = frozenset(('at', 'event', 'level'))


@final
class LogLine(msgspec.Struct, frozen=True):
    """One logged event, with the fields other than time, event and level.

    `source` names the log that it was read from.
    """

    timestamp_s: float
    source: str
    event: str
    fields: dict[str, Any]

    def format_text(self, since_s: float) -> str:
        """Return readable text, with the seconds elapsed since `since_s`."""
        parts = ' '.join(
            f'{name}={value}' for name, value in self.fields.items()
        )
        return (
            f'{self.timestamp_s - since_s:+9.3f} s {self.source}:'
            f' {self.event} {parts}'
        )


def parse_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines that hold a JSON event.

    Text before the JSON object, and lines without one, are ignored.
    """
    parsed = [_parse_line(source, line) for line in lines]
    return [line for line in parsed if line is not None]


def _parse_line(source: str, line: str) -> LogLine | None:
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    if 'at' not in fields or 'event' not in fields:
        return None
    other_fields = {
        name: value
        for name, value in fields.items()
        if name not in _HEADER_FIELDS
    }
    return LogLine(fields['at'], source, fields['event'], other_fields)
