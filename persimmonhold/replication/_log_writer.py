"""Persists the state and log entries of a replica, batch by batch.

Term and vote may reach the disk before entries that were issued earlier,
but never after anything that was issued later.
"""

from typing import final

import msgspec

from persimmonhold.consensus import LogEntry, Persist, Snapshot
from persimmonhold.storage import LogStore


@final
class LogWriter:
    """Encodes and stores batches; raises `OSError` if the disk fails."""

    __slots__ = ('_encoder', '_last_indexes', '_store', 'sync_count')

    def __init__(self, store: LogStore, last_index: int) -> None:
        """Create a writer for a recovered store."""
        self._store = store
        self._encoder = msgspec.msgpack.Encoder()
        self._last_indexes = {one.name: last_index for one in store.segments}
        self.sync_count = 0

    def write(self, batch: tuple[Persist, ...]) -> None:
        """Write a batch in order; return once all of it is synced."""
        states = [one.hard_state for one in batch if one.hard_state]
        if states:
            self._store.write_hard_state(self._encoder.encode(states[-1]))
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
        """Remove the segments that hold no entry after `base_index`."""
        for segment in self._store.segments:
            if self._last_indexes.get(segment.name, 0) > base_index:
                self._store.remove_segments_before(segment)
                return
        self._store.begin_segment()
        self._store.remove_segments_before(self._store.segments[-1])

    def _append(self, entries: list[LogEntry]) -> None:
        if not entries:
            return
        records = tuple(self._encoder.encode(entry) for entry in entries)
        name = self._store.append_records(records).name
        last = max(entry.index for entry in entries)
        self._last_indexes[name] = max(self._last_indexes.get(name, 0), last)
        self.sync_count += 1

    def _write_snapshot(self, snapshot: Snapshot, *, is_reset: bool) -> None:
        self._store.write_snapshot(self._encoder.encode(snapshot))
        self.sync_count += 1
        if is_reset:
            # The snapshot is synced before any new entry is written. A later
            # start can thus tell that entries which disagree with it predate
            # it.
            self._store.remove_segments_before(None)
            self._last_indexes.clear()
