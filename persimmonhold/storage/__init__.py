"""Synced write-ahead log and snapshot files."""

from persimmonhold.storage._record_file import RecordFile, sync_directory

__all__ = ('RecordFile', 'sync_directory')
