"""Rebuilds the log of a replica from its records.

A record whose index is held already replaces that entry and all after it.
Where the snapshot does not agree with the entry at its index, it came from
another leader and replaces the log: what follows it was written before.
"""

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.consensus import LogEntry, RaftLog, Snapshot
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.storage import Recovered


def recover_log(recovered: Recovered) -> Result[RaftLog, Failure]:
    """Return the log, or the gap that was found in it."""
    if not recovered.state and (recovered.records or recovered.snapshot):
        return Failed(_damage_failure('state', 'missing beside a log'))
    snapshot = Snapshot()
    if recovered.snapshot:
        snapshot = msgspec.msgpack.decode(recovered.snapshot, type=Snapshot)
    decoder = msgspec.msgpack.Decoder(LogEntry)
    entries: list[LogEntry] = []
    for record in recovered.records:
        entry = decoder.decode(record)
        if not _add_entry(entries, entry, snapshot.index):
            return Failed(
                _damage_failure('log', f'gap before entry {entry.index}')
            )
    return _join_snapshot(snapshot, entries)


def _add_entry(
    entries: list[LogEntry], entry: LogEntry, snapshot_index: int
) -> bool:
    """Add an entry; False where entries that are needed are missing."""
    if entries and entry.index > entries[-1].index + 1:
        if entry.index > snapshot_index + 1:
            return False
        entries.clear()
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)
    return True


def _join_snapshot(
    snapshot: Snapshot,
    entries: list[LogEntry],
) -> Result[RaftLog, Failure]:
    if not entries or entries[-1].index < snapshot.index:
        return Success(RaftLog(snapshot))
    first = entries[0].index
    if first > snapshot.index + 1:
        return Failed(_damage_failure('log', f'gap before entry {first}'))
    if first <= snapshot.index:
        last_covered = entries[snapshot.index - first]
        if last_covered.term != snapshot.term:
            return Success(RaftLog(snapshot))
    return Success(RaftLog(snapshot, entries))


def _damage_failure(name: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.storage_damaged,
        step='recover log',
        peer=name,
        detail=detail,
    )
