"""The in-memory log of one replica.

Invariants: entries are contiguous from `base_index + 1`; the snapshot covers
only committed entries, so no index at or below it is ever truncated.
"""

import math
from collections.abc import Sequence
from itertools import islice
from typing import Final, final

import msgspec

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._log_entry import EntryKind, LogEntry
from persimmonhold.consensus._snapshot import Snapshot

_ENTRY_OVERHEAD_BYTES: Final = 16


@final
class RaftLog:
    """The log of a replica: entries, latest snapshot and configurations.

    Some entries that the snapshot covers may be kept, for members that lag.
    `base_index` and `base_term` are those of the entry before the first one
    kept; a `base_term` of 0 is unknown. Entries up to `synced_index` are
    synced.
    """

    __slots__ = (
        '_base_end',
        '_configurations',
        '_ends',
        '_entries',
        '_pending_syncs',
        'base_index',
        'base_term',
        'snapshot',
        'synced_index',
    )

    def __init__(
        self,
        snapshot: Snapshot,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        """Create the log from recovered data, all of which is synced."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries: list[LogEntry] = []
        # The running total of entry sizes at the end of each entry, and before
        # the first one.
        self._ends: list[int] = []
        self._base_end = 0
        self._pending_syncs: list[tuple[int, int]] = []
        self._configurations = [(snapshot.index, snapshot.configuration)]
        if entries and entries[0].index <= snapshot.index:
            self.base_index = entries[0].index - 1
            self.base_term = 0
        self.append(entries)
        self.synced_index = self.last_index

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def last_position(self) -> tuple[int, int]:
        """Term and index of the last entry, by which logs are compared."""
        return (self.last_term, self.last_index)

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, committed or not."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the latest configuration."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in effect at a log index.

        For an index below the snapshot, the configuration of the snapshot.
        """
        found = self._configurations[0][1]
        for since, configuration in self._configurations:
            if since <= index:
                found = configuration
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`.

        None if this log does not reach that index or has compacted it away.
        """
        if index < self.base_index:
            return None
        if index == 0:
            return 0
        if index == self.snapshot.index:
            return self.snapshot.term
        if index == self.base_index:
            return self.base_term or None
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def size_between(self, first: int, last: int) -> int:
        """Return the bytes of the entries from `first` to `last`, inclusive.

        Indexes that this log does not hold count as nothing.
        """
        return self._end_at(last) - self._end_at(first - 1)

    def entries_between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries with indexes from `first` to `last`, inclusive."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def select_batch(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return the entries from index `first` on that fit in `max_bytes`.

        The first is returned even if it alone is larger.
        """
        batch: list[LogEntry] = []
        size = 0
        start = first - self.base_index - 1
        for entry in islice(self._entries, start, None):
            size += _size_of(entry)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries and record the configurations among them."""
        for entry in entries:
            end = self._ends[-1] if self._ends else self._base_end
            self._entries.append(entry)
            self._ends.append(end + _size_of(entry))
            is_newer = entry.index > self.snapshot.index
            if entry.kind is EntryKind.configuration and is_newer:
                configuration = msgspec.msgpack.decode(
                    entry.payload,
                    type=Configuration,
                )
                self._configurations.append((entry.index, configuration))

    def truncate(self, first: int) -> None:
        """Remove the entry at index `first` and all after it."""
        kept = first - self.base_index - 1
        self._entries = self._entries[:kept]
        self._ends = self._ends[:kept]
        while self._configurations[-1][0] >= first:
            self._configurations.pop()
        last = first - 1
        self.synced_index = min(self.synced_index, last)
        self._pending_syncs = [
            (number, min(index, last)) for number, index in self._pending_syncs
        ]

    def record_pending_sync(self, number: int) -> None:
        """Record that the `Persist` with this number covers the log so far."""
        self._pending_syncs.append((number, self.last_index))

    def record_sync_completion(self, number: int) -> None:
        """Raise `synced_index`: all `Persist` up to `number` are synced."""
        for waiting, index in self._pending_syncs:
            if waiting <= number:
                self.synced_index = max(self.synced_index, index)
        self._pending_syncs = [
            sync for sync in self._pending_syncs if sync[0] > number
        ]

    def compact(
        self,
        snapshot: Snapshot,
        kept_entries: int,
        kept_bytes: float = math.inf,
    ) -> None:
        """Set the snapshot and drop the entries that it covers.

        The last `kept_entries` covered entries stay in the log, fewer if they
        exceed `kept_bytes`.
        """
        base = max(self.base_index, snapshot.index - kept_entries)
        while self.size_between(base + 1, snapshot.index) > kept_bytes:
            base += 1
        base_term = self.term_at(base)
        self._base_end = self._end_at(base)
        self._entries = self._entries[base - self.base_index :]
        self._ends = self._ends[base - self.base_index :]
        self.base_term = base_term or 0
        self.base_index = base
        self._configurations = [
            (snapshot.index, snapshot.configuration),
            *(one for one in self._configurations if one[0] > snapshot.index),
        ]
        self.snapshot = snapshot

    def replace_with_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot that is not synced yet."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._entries = []
        self._ends = []
        self._base_end = 0
        self._pending_syncs = []
        self._configurations = [(snapshot.index, snapshot.configuration)]
        self.synced_index = 0

    def _end_at(self, index: int) -> int:
        """Return the running total of sizes up to an index."""
        if index <= self.base_index or not self._ends:
            return self._base_end
        return self._ends[min(index, self.last_index) - self.base_index - 1]


def _size_of(entry: LogEntry) -> int:
    return len(entry.payload) + _ENTRY_OVERHEAD_BYTES
