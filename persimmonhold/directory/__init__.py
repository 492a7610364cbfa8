"""The directory of entry addresses, and the planned stop of an entry."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.directory._directory import Directory, sample_addresses
from persimmonhold.directory._directory_entry import (
    DirectoryEntry,
    DirectoryResponse,
)
from persimmonhold.directory._stop_schedule import StopSchedule

if TYPE_CHECKING:
    from persimmonhold.directory._drain import Drain
    from persimmonhold.directory._drain_phase import DrainPhase

__all__ = (
    'sample_addresses',
    'Directory',
    'DirectoryResponse',
    'DirectoryEntry',
    'Drain',
    'DrainPhase',
    'StopSchedule',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'Drain': '_drain',
            'DrainPhase': '_drain_phase',
        },
    )
