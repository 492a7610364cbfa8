"""One entry of the log."""

import enum
from typing import final

import msgspec


@final
@enum.unique
class EntryKind(enum.IntEnum):
    """What the payload of an entry is."""

    command = 1
    configuration = 2
    empty = 3


@final
class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry; index and term together determine the content."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''
