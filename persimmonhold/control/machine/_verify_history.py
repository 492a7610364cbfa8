"""Proves the chain of the history."""

from collections.abc import Iterable

from persimmonhold.control.machine._history_record import (
    GENESIS_DIGEST,
    HistoryRecord,
)


def verify_history(
    records: Iterable[HistoryRecord],
    previous_digest: str = GENESIS_DIGEST,
) -> str:
    """Return what breaks the chain after `previous_digest`, or nothing."""
    revision = 0
    for record in records:
        record_name = f'record of revision {record.revision}'
        if record.previous_digest != previous_digest:
            return f'{record_name}: does not follow the record before'
        if record.digest != record.compute_digest():
            return f'{record_name}: content differs from its digest'
        if record.revision < revision:
            return f'{record_name}: revision falls'
        revision = record.revision
        previous_digest = record.digest
    return ''
