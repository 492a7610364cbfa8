"""The files of one replica: log segments, hard state and snapshot.

The files are named `log-<number>`, with ascending numbers, `state` and
`snapshot`. To replace a file, its successor is written as `<name>.new`,
synced and renamed, and then the directory is synced. Invariants: records are
durable once `append_records` has returned; segments are removed only after the
snapshot that covers them is durable.
"""

from collections.abc import Callable
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.storage._file_system import FileSystem
from persimmonhold.storage._record_codec import decode_records, encode_batch
from persimmonhold.storage._recovered_data import RecordT, RecoveredData
from persimmonhold.storage._segment import Segment

# The records of each segment.
_Segments: TypeAlias = tuple[tuple[RecordT, ...], ...]
_HARD_STATE: Final = 'state'
_SNAPSHOT: Final = 'snapshot'
_SEGMENT_PREFIX: Final = 'log-'
_TEMPORARY_SUFFIX: Final = '.new'
# Numbers are padded with zeros, so that names sort in the order of writing.
_NUMBER_DIGITS: Final = 12
# A new segment begins once the last one has reached this size.
_SEGMENT_ROLL_BYTES: Final = 4_194_304


@final
class LogStore:
    """Reads and writes the files of one replica."""

    __slots__ = ('_files', '_last_number', '_segment_bytes', '_segments')

    def __init__(
        self,
        files: FileSystem,
        segment_bytes: int = _SEGMENT_ROLL_BYTES,
    ) -> None:
        """Create a store; call `recover` before any other method."""
        self._files = files
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        # Not used again after a removal, which may take place later.
        self._last_number = 0

    @property
    def segments(self) -> tuple[Segment, ...]:
        """The segments in the order in which they were written."""
        return tuple(self._segments)

    @property
    def log_bytes(self) -> int:
        """The size of all segments."""
        return sum(segment.size_bytes for segment in self._segments)

    def recover(self) -> Result[RecoveredData[bytes], Failure]:
        """Remove temporary files of interrupted writes and read the others.

        Fails if a file is damaged; an incomplete last batch is truncated.
        """
        return self.recover_decoded(bytes)

    def recover_decoded(
        self, decode: Callable[[bytes], RecordT]
    ) -> Result[RecoveredData[RecordT], Failure]:
        """Recover as `recover` does, and decode each record.

        Segments are read one after the other, so that no more than one of them
        is in memory besides the decoded records.
        """
        self._remove_temporary_files()
        state = self._read_single_record(_HARD_STATE)
        snapshot = self._read_single_record(_SNAPSHOT)
        segments = self._read_segments(decode)
        for step in (state, snapshot, segments):
            if isinstance(step, Failed):
                return step
        return Success(
            RecoveredData(
                hard_state=state.unwrap(),
                snapshot=snapshot.unwrap(),
                segments=segments.unwrap(),
            ),
        )

    def append_records(self, records: tuple[bytes, ...]) -> Segment:
        """Append records, sync once, and return the segment that has them.

        A new segment begins first if the last one has reached its size.
        """
        if not self._segments:
            self.begin_segment()
        if self._segments[-1].size_bytes >= self._segment_bytes:
            self.begin_segment()
        self._segments[-1].append_records(records)
        return self._segments[-1]

    def begin_segment(self) -> None:
        """Start a new segment; its file is created by the first append."""
        self._last_number += 1
        name = f'{_SEGMENT_PREFIX}{self._last_number:0{_NUMBER_DIGITS}}'
        self._segments.append(Segment(self._files, name))

    def remove_first_segment(self) -> None:
        """Remove the oldest segment, which a durable snapshot must cover.

        The removal may be lost in a crash; the snapshot still covers it then.
        """
        segment = self._segments.pop(0)
        if segment.name in self._files.list_names():
            self._files.remove_later(segment.name)

    def remove_all_segments(self) -> None:
        """Remove all segments durably."""
        names = self._files.list_names()
        for segment in self._segments:
            if segment.name in names:
                self._files.remove(segment.name)
        self._segments = []
        self._files.sync_directory()

    def write_hard_state(self, state: bytes) -> None:
        """Replace the hard state durably."""
        self._replace_file(_HARD_STATE, state)

    def write_snapshot(self, snapshot: bytes) -> None:
        """Replace the snapshot durably."""
        self._replace_file(_SNAPSHOT, snapshot)

    def begin_snapshot(self) -> None:
        """Prepare to write a snapshot in parts.

        Discards the parts of one that was not finished.
        """
        if _SNAPSHOT + _TEMPORARY_SUFFIX in self._files.list_names():
            self._files.remove(_SNAPSHOT + _TEMPORARY_SUFFIX)

    def append_to_snapshot(self, part: bytes) -> None:
        """Append a part of an encoded snapshot file and sync it."""
        self._files.append(_SNAPSHOT + _TEMPORARY_SUFFIX, part)
        self._files.sync(_SNAPSHOT + _TEMPORARY_SUFFIX)

    def finish_snapshot(self) -> None:
        """Replace the snapshot durably with the one written in parts."""
        self._publish_new_file(_SNAPSHOT)

    def remove_all_files(self) -> None:
        """Remove every file and sync the directory."""
        self._segments = []
        for name in self._files.list_names():
            self._files.remove(name)
        self._files.sync_directory()

    def _replace_file(self, name: str, content: bytes) -> None:
        new_name = name + _TEMPORARY_SUFFIX
        if new_name in self._files.list_names():
            self._files.remove(new_name)
        self._files.append(new_name, encode_single_record(content))
        self._publish_new_file(name)

    def _publish_new_file(self, name: str) -> None:
        self._files.sync(name + _TEMPORARY_SUFFIX)
        self._files.rename(name + _TEMPORARY_SUFFIX, name)
        self._files.sync_directory()

    def _remove_temporary_files(self) -> None:
        for name in self._files.list_names():
            if name.endswith(_TEMPORARY_SUFFIX):
                self._files.remove(name)

    def _read_single_record(self, name: str) -> Result[bytes, Failure]:
        if name not in self._files.list_names():
            return Success(b'')
        content = self._files.read(name)
        decoded = decode_records(content)
        if len(decoded.payloads) != 1 or decoded.end_offset != len(content):
            return Failed(_damage_failure(name, decoded.end_offset))
        return Success(decoded.payloads[0])

    def _read_segments(
        self, decode: Callable[[bytes], RecordT]
    ) -> Result[_Segments[RecordT], Failure]:
        names = [
            name
            for name in self._files.list_names()
            if name.startswith(_SEGMENT_PREFIX)
        ]
        self._segments = [Segment(self._files, name) for name in names]
        if names:
            self._last_number = _parse_segment_number(names[-1])
        decoded: list[tuple[RecordT, ...]] = []
        for segment in self._segments:
            is_last = segment is self._segments[-1]
            found = segment.read_records(is_last=is_last)
            if isinstance(found, Failed):
                return found
            decoded.append(tuple(map(decode, found.unwrap())))
        return Success(tuple(decoded))


def encode_single_record(content: bytes) -> bytes:
    """Encode a file that holds one record and is replaced as a whole."""
    return encode_batch((content,), 0)


def _parse_segment_number(name: str) -> int:
    return int(name.removeprefix(_SEGMENT_PREFIX))


def _damage_failure(name: str, offset: int) -> Failure:
    return Failure(
        kind=FailureKind.storage_damaged,
        step='read whole file',
        peer=name,
        detail=f'damaged record at byte {offset}',
    )
