"""Synced write-ahead log and snapshot files."""

from persimmonhold.storage._disk_directory import DiskDirectory
from persimmonhold.storage._file_system import FileSystem
from persimmonhold.storage._log_store import LogStore, encode_whole
from persimmonhold.storage._record_file import RecordFile
from persimmonhold.storage._recovered import Recovered
from persimmonhold.storage._segment import Segment

__all__ = (
    'DiskDirectory',
    'FileSystem',
    'LogStore',
    'RecordFile',
    'Recovered',
    'Segment',
    'encode_whole',
)
