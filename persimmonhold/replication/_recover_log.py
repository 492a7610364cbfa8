"""Rebuilds the log of a replica from its stored records.

A record with the same index as an earlier record replaces that entry and all
entries after it. If the term of the snapshot differs from that of the entry
at its index, the snapshot was received from another leader and replaces the
whole log: all entries were then written before the snapshot.
"""

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.consensus import LogEntry, RaftLog, Snapshot
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.replication._stored_snapshot import decode_snapshot
from persimmonhold.storage import RecoveredData


def recover_log(
    recovered: RecoveredData[LogEntry],
) -> Result[RaftLog, Failure]:
    """Return the log, or a failure if part of the stored data is missing."""
    records = recovered.records
    if not recovered.hard_state and (records or recovered.snapshot):
        return Failed(
            _create_damage_failure(
                'state', 'missing although a log or snapshot exists'
            )
        )
    snapshot = Snapshot()
    if recovered.snapshot:
        snapshot = decode_snapshot(recovered.snapshot)
    entries: list[LogEntry] = []
    for entry in records:
        if not _add_entry(entries, entry, snapshot.index):
            return Failed(
                _create_damage_failure(
                    'log', f'entries before index {entry.index} are missing'
                )
            )
    return _combine_with_snapshot(snapshot, entries)


def _add_entry(
    entries: list[LogEntry], entry: LogEntry, snapshot_index: int
) -> bool:
    """Add an entry; return False if entries before it are missing.

    A gap is allowed if the snapshot covers all missing entries.
    """
    if entries and entry.index > entries[-1].index + 1:
        if entry.index > snapshot_index + 1:
            return False
        entries.clear()
    while entries and entries[-1].index >= entry.index:
        entries.pop()
    entries.append(entry)
    return True


def _combine_with_snapshot(
    snapshot: Snapshot,
    entries: list[LogEntry],
) -> Result[RaftLog, Failure]:
    """Return the log of a snapshot and the entries that extend it.

    Returns a failure if entries between the two are missing.
    """
    if not entries or entries[-1].index < snapshot.index:
        return Success(RaftLog(snapshot))
    first = entries[0].index
    if first > snapshot.index + 1:
        return Failed(
            _create_damage_failure(
                'log', f'entries before index {first} are missing'
            )
        )
    if first <= snapshot.index:
        last_covered = entries[snapshot.index - first]
        if last_covered.term != snapshot.term:
            return Success(RaftLog(snapshot))
    return Success(RaftLog(snapshot, entries))


def _create_damage_failure(name: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.storage_damaged,
        step='recover log',
        peer=name,
        detail=detail,
    )
