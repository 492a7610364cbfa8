"""Data that a replica recovers from its files."""

from itertools import chain
from typing import Generic, TypeVar, final

import msgspec

RecordT = TypeVar('RecordT')


@final
class RecoveredData(
    msgspec.Struct, Generic[RecordT], frozen=True, kw_only=True
):
    """What a replica finds in its files when it starts.

    `hard_state` and `snapshot` are empty if the file does not exist.

    `segments` holds the records of each segment, in the order of writing.
    """

    hard_state: bytes
    snapshot: bytes
    segments: tuple[tuple[RecordT, ...], ...]

    @property
    def records(self) -> tuple[RecordT, ...]:
        """The records of all segments in the order of writing."""
        return tuple(chain.from_iterable(self.segments))
