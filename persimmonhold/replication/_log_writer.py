"""Persists the hard state, log entries and snapshots of a replica in batches.

Within a batch, the hard state (term and vote) is written first: it may reach
the disk before earlier entries, but never after anything issued later.
"""

from typing import final

import msgspec

from persimmonhold.consensus import LogEntry, Persist, Snapshot
from persimmonhold.replication._stored_entry import encode_entry
from persimmonhold.storage import LogStore


@final
class LogWriter:
    """Encodes and stores batches; raises `OSError` if the disk fails.

    `sync_count` is the number of syncs so far.
    """

    __slots__ = ('_encoder', '_last_index_by_segment', '_store', 'sync_count')

    def __init__(
        self,
        store: LogStore,
        segments: tuple[tuple[LogEntry, ...], ...] = (),
    ) -> None:
        """Create a writer; `segments` are the entries of those in the store."""
        self._store = store
        self._encoder = msgspec.msgpack.Encoder()
        self._last_index_by_segment = {
            one.name: max((entry.index for entry in entries), default=0)
            for one, entries in zip(store.segments, segments, strict=True)
        }
        self.sync_count = 0

    def write_batch(self, batch: tuple[Persist, ...]) -> None:
        """Write a batch in order; return once all of it is synced."""
        states = [one.hard_state for one in batch if one.hard_state]
        if states:
            self._store.write_hard_state(self._encoder.encode(states[-1]))
            self.sync_count += 1
        entries: list[LogEntry] = []
        for persist in batch:
            if persist.snapshot is not None:
                self._append_entries(entries)
                entries = []
                self._write_snapshot(
                    persist.snapshot, is_reset=persist.is_reset
                )
            entries.extend(persist.entries)
        self._append_entries(entries)

    def remove_covered_segments(self, base_index: int) -> None:
        """Remove the first segments that hold no entry after `base_index`.

        The last segment is kept.
        """
        for segment in self._store.segments[:-1]:
            if self._last_index_by_segment.get(segment.name, 0) > base_index:
                return
            self._store.remove_first_segment()
            self._last_index_by_segment.pop(segment.name, None)

    def _append_entries(self, entries: list[LogEntry]) -> None:
        if not entries:
            return
        records = tuple(map(encode_entry, entries))
        name = self._store.append_records(records).name
        last = max(entry.index for entry in entries)
        self._last_index_by_segment[name] = max(
            self._last_index_by_segment.get(name, 0), last
        )
        self.sync_count += 1

    def _write_snapshot(self, snapshot: Snapshot, *, is_reset: bool) -> None:
        self._store.write_snapshot(self._encoder.encode(snapshot))
        self.sync_count += 1
        if is_reset:
            # The snapshot is synced before any new entry is written. A later
            # start can thus tell that entries which disagree with it predate
            # it.
            self._store.remove_all_segments()
            self._last_index_by_segment.clear()
