"""Sizes that bound what a replica keeps of its log."""

from typing import Final, Self, final

import msgspec

_BYTES_PER_MB: Final = 1_000_000
# Parts of the disk and of the memory that the log takes between two snapshots.
# Its tail, and the old and the new snapshot, exist beside it.
_DISK_PARTS: Final = 16
_MEMORY_PARTS: Final = 32
# Parts of `bytes_per_snapshot`.
_KEPT_PARTS: Final = 2
_SEGMENT_PARTS: Final = 4
_IN_FLIGHT_PARTS: Final = 4
_DEFAULT_BYTES: Final = 8_000_000


@final
class LogBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits in bytes; one entry that is larger is allowed.

    A snapshot is taken after `bytes_per_snapshot` of applied entries. The log
    retains up to `kept_bytes` of the entries that it covers, in files of about
    `segment_bytes`. A member is sent up to `in_flight_bytes` that it has not
    acknowledged. `pending_bytes` limits proposals that are not committed, and
    messages that wait to be handled.
    """

    bytes_per_snapshot: int = _DEFAULT_BYTES
    kept_bytes: int = _DEFAULT_BYTES // _KEPT_PARTS
    segment_bytes: int = _DEFAULT_BYTES // _SEGMENT_PARTS
    in_flight_bytes: int = _DEFAULT_BYTES // _IN_FLIGHT_PARTS
    pending_bytes: int = _DEFAULT_BYTES

    @classmethod
    def for_resources(cls, disk_mb: int, memory_mb: int) -> Self:
        """Return the bounds for a disk and a memory; 0 stands for unknown."""
        parts = (
            disk_mb * _BYTES_PER_MB // _DISK_PARTS,
            memory_mb * _BYTES_PER_MB // _MEMORY_PARTS,
        )
        size = min((one for one in parts if one), default=_DEFAULT_BYTES)
        return cls(
            bytes_per_snapshot=size,
            kept_bytes=size // _KEPT_PARTS,
            segment_bytes=size // _SEGMENT_PARTS,
            in_flight_bytes=size // _IN_FLIGHT_PARTS,
            pending_bytes=size,
        )
