"""Verifies the hash chain of the audit history."""

from collections.abc import Iterable

from persimmonhold.control.machine._history_record import (
    GENESIS_DIGEST,
    HistoryRecord,
)


def verify_history(
    records: Iterable[HistoryRecord],
    previous_digest: str = GENESIS_DIGEST,
) -> str:
    """Return the first error in the hash chain, or an empty string.

    The first record has to follow the record with `previous_digest`.
    """
    revision = 0
    for record in records:
        record_name = f'record of revision {record.revision}'
        if record.previous_digest != previous_digest:
            return f'{record_name}: previous_digest does not match'
        if record.digest != record.compute_digest():
            return f'{record_name}: content does not match its digest'
        if record.revision < revision:
            return f'{record_name}: revision is below the preceding {revision}'
        revision = record.revision
        previous_digest = record.digest
    return ''
