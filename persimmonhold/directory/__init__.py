"""The directory of entry addresses, and the planned stop of an entry."""

from persimmonhold.directory._directory import Directory
from persimmonhold.directory._directory_entry import (
    DirectoryEntry,
    DirectoryResponse,
)
from persimmonhold.directory._drain import Drain
from persimmonhold.directory._drain_phase import DrainPhase
from persimmonhold.directory._stop_schedule import StopSchedule

__all__ = (
    'Directory',
    'DirectoryResponse',
    'DirectoryEntry',
    'Drain',
    'DrainPhase',
    'StopSchedule',
)
