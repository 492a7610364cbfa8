"""Writes what a replica wants persisted, with one sync a batch.

Term and vote may reach the disk earlier than entries that were issued
before them, never later than what was issued after.
"""

from typing import final

import msgspec

from persimmonhold.consensus import LogEntry, Persist, Snapshot
from persimmonhold.storage import LogStore


@final
class LogWriter:
    """Encodes and stores; raises `OSError` where the disk fails."""

    __slots__ = ('_encoder', '_last_indexes', '_store', 'sync_count')

    def __init__(self, store: LogStore, last_index: int) -> None:
        """Create a writer behind a recovered store."""
        self._store = store
        self._encoder = msgspec.msgpack.Encoder()
        self._last_indexes = {one.name: last_index for one in store.segments}
        self.sync_count = 0

    def write(self, batch: tuple[Persist, ...]) -> None:
        """Store a batch in order; return when all of it is synced."""
        states = [one.hard_state for one in batch if one.hard_state]
        if states:
            self._store.write_state(self._encoder.encode(states[-1]))
            self.sync_count += 1
        entries: list[LogEntry] = []
        for persist in batch:
            if persist.snapshot is not None:
                self._append(entries)
                entries = []
                self._write_snapshot(
                    persist.snapshot, is_reset=persist.is_reset
                )
            entries.extend(persist.entries)
        self._append(entries)

    def remove_covered_segments(self, base_index: int) -> None:
        """Remove the segments that hold nothing after an index."""
        for segment in self._store.segments:
            if self._last_indexes.get(segment.name, 0) > base_index:
                self._store.remove_before(segment)
                return
        self._store.begin_segment()
        self._store.remove_before(self._store.segments[-1])

    def _append(self, entries: list[LogEntry]) -> None:
        if not entries:
            return
        records = tuple(self._encoder.encode(entry) for entry in entries)
        name = self._store.append(records).name
        last = max(entry.index for entry in entries)
        self._last_indexes[name] = max(self._last_indexes.get(name, 0), last)
        self.sync_count += 1

    def _write_snapshot(self, snapshot: Snapshot, *, is_reset: bool) -> None:
        self._store.write_snapshot(self._encoder.encode(snapshot))
        self.sync_count += 1
        if is_reset:
            # Synced before any new entry, so that what a later start finds
            # above a snapshot that disagrees is from before it.
            self._store.remove_before(None)
            self._last_indexes.clear()
