"""Durable write-ahead log, hard state and snapshot files."""

from persimmonhold.storage._disk_directory import DiskDirectory
from persimmonhold.storage._file_system import FileSystem
from persimmonhold.storage._log_store import LogStore, encode_single_record
from persimmonhold.storage._record_file import RecordFile
from persimmonhold.storage._recovered_data import RecoveredData
from persimmonhold.storage._segment import Segment

__all__ = (
    'DiskDirectory',
    'FileSystem',
    'LogStore',
    'RecordFile',
    'RecoveredData',
    'Segment',
    'encode_single_record',
)
