"""Which entry addresses callers are given, and how an entry leaves."""

from persimmonhold.directory._directory import Directory
from persimmonhold.directory._directory_entry import (
    DirectoryAnswer,
    DirectoryEntry,
)
from persimmonhold.directory._drain import Drain
from persimmonhold.directory._drain_phase import DrainPhase

__all__ = (
    'Directory',
    'DirectoryAnswer',
    'DirectoryEntry',
    'Drain',
    'DrainPhase',
)
