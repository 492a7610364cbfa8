"""Entries of the replicated log."""

import enum
from typing import final

import msgspec


@final
@enum.unique
class EntryKind(enum.IntEnum):
    """The kind of payload in an entry.

    A leader begins its term with an `empty` entry.
    """

    command = 1
    configuration = 2
    empty = 3


@final
class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry; index and term together identify its content."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''
