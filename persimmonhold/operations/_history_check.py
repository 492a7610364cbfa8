"""Proves that a history is whole and unchanged."""

from persimmonhold.control.machine import GENESIS_DIGEST, HistoryRecord


def find_broken_link(records: tuple[HistoryRecord, ...]) -> int | None:
    """Return the revision of the first bad record, or None.

    The records are all of the history from its beginning.
    """
    previous = GENESIS_DIGEST
    for record in records:
        if record.previous_digest != previous:
            return record.revision
        if record.digest != record.expected_digest():
            return record.revision
        previous = record.digest
    return None
