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
from persimmonhold.storage import RecoveredData


def recover_log(recovered: RecoveredData) -> Result[RaftLog, Failure]:
    """Return the log, or the gap that was found in it."""
    if not recovered.hard_state and (recovered.records or recovered.snapshot):
        return Failed(_damaged('state', 'missing beside a log'))
    snapshot = Snapshot()
    if recovered.snapshot:
        snapshot = msgspec.msgpack.decode(recovered.snapshot, type=Snapshot)
    decoder = msgspec.msgpack.Decoder(LogEntry)
    entries: list[LogEntry] = []
    for record in recovered.records:
        entry = decoder.decode(record)
        if not _add(entries, entry, snapshot.index):
            return Failed(_damaged('log', f'gap before entry {entry.index}'))
    return _join(snapshot, entries)


def _add(entries: list[LogEntry], entry: LogEntry, covered: int) -> bool:
    """Add an entry; False where entries that are needed are missing."""
    if entries and entry.index > entries[-1].index + 1:
        if entry.index > covered + 1:
            return False
        entries.clear()
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)
    return True


def _join(
    snapshot: Snapshot,
    entries: list[LogEntry],
) -> Result[RaftLog, Failure]:
    if not entries or entries[-1].index < snapshot.index:
        return Success(RaftLog(snapshot))
    first = entries[0].index
    if first > snapshot.index + 1:
        return Failed(_damaged('log', f'gap before entry {first}'))
    if first <= snapshot.index:
        joint = entries[snapshot.index - first]
        if joint.term != snapshot.term:
            return Success(RaftLog(snapshot))
    return Success(RaftLog(snapshot, entries))


def _damaged(name: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.storage_damaged,
        step='recover log',
        peer=name,
        detail=detail,
    )
