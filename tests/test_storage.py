"""Tests of recovery after incomplete writes, crashes at any step and damage."""

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, MatchesAny

from persimmonhold.failures import FailureKind
from persimmonhold.storage import DiskDirectory, LogStore
from tests._replication_fakes import CrashError, FakeDisk

_RECORDS = (b'first', b'second record', b'third')
_HEADER_BYTES = 20


@pytest.fixture
def disk() -> FakeDisk:
    return FakeDisk()


@pytest.fixture
def written(disk: FakeDisk) -> bytes:
    """Return a file of three records, each in a batch of its own."""
    store = LogStore(disk)
    store.recover().unwrap()
    for record in _RECORDS:
        store.append_records((record,))
    return disk.read(disk.list_names()[0])


def _recover(disk: FakeDisk, content: bytes) -> LogStore:
    disk.files[disk.list_names()[0]].content = content
    return LogStore(disk)


@pytest.mark.parametrize('lost_bytes', range(1, _HEADER_BYTES + 5))
def test_torn_last_record_is_cut(
    disk: FakeDisk,
    written: bytes,
    lost_bytes: int,
) -> None:
    store = _recover(disk, written[:-lost_bytes])
    assert_that(store.recover().unwrap().records, Equals(_RECORDS[:2]))
    store.append_records((b'after',))
    again = LogStore(disk).recover().unwrap()
    assert_that(again.records, Equals((*_RECORDS[:2], b'after')))


@pytest.mark.parametrize('position', range(2 * _HEADER_BYTES + 18))
@pytest.mark.parametrize('value', [0, 255])
def test_damage_before_the_last_record_names_file_and_offset(
    disk: FakeDisk,
    written: bytes,
    position: int,
    value: int,
) -> None:
    """This includes a damaged length that reaches beyond the end of the file."""
    content = bytearray(written)
    content[position] = value
    if bytes(content) == written:
        return
    failure = _recover(disk, bytes(content)).recover().failure()
    assert_that(failure.kind, Equals(FailureKind.storage_damaged))
    assert_that(failure.peer, Equals('log-000000000001'))
    start = 0 if position < _HEADER_BYTES + 5 else _HEADER_BYTES + 5
    assert_that(failure.detail, Equals(f'damaged record at byte {start}'))


def test_hole_in_the_last_batch_is_torn_not_damage(disk: FakeDisk) -> None:
    store = LogStore(disk)
    store.recover().unwrap()
    store.append_records((b'kept',))
    store.append_records((b'lost in a hole', b'written behind it'))
    content = disk.read(disk.list_names()[0])
    hole = content[:30] + bytes(10) + content[40:]
    found = _recover(disk, hole).recover().unwrap()
    assert_that(found.records, Equals((b'kept',)))


def test_torn_end_of_an_earlier_segment_is_damage(disk: FakeDisk) -> None:
    store = LogStore(disk, segment_bytes=1)
    store.recover().unwrap()
    store.append_records((b'one',))
    store.append_records((b'two',))
    first = disk.files[disk.list_names()[0]]
    first.content = first.content[:-1]
    failure = LogStore(disk).recover().failure()
    assert_that(failure.peer, Equals('log-000000000001'))


@pytest.mark.parametrize('name', ['state', 'snapshot'])
def test_damaged_whole_file_is_an_error(disk: FakeDisk, name: str) -> None:
    store = LogStore(disk)
    store.write_hard_state(b'term 4')
    store.write_snapshot(b'the state')
    disk.files[name].content = disk.files[name].content[:-1]
    failure = LogStore(disk).recover().failure()
    assert_that(failure.peer, Equals(name))


class _Write(NamedTuple):
    kind: str
    content: bytes
    perform: Callable[[], object]


def _list_writes(store: LogStore) -> list[_Write]:
    """Return writes of every kind; each batch holds one record twice."""
    writes: list[_Write] = []
    for number in range(6):
        record = b'record %d' % number
        state = b'state %d' % number
        snapshot = b'snapshot %d' % number * 5
        writes.extend((
            _Write(
                'records',
                record,
                partial(store.append_records, (record, record)),
            ),
            _Write('state', state, partial(store.write_hard_state, state)),
            _Write(
                'snapshot',
                snapshot,
                partial(store.write_snapshot, snapshot),
            ),
        ))
    return writes


class SlowDisk(FakeDisk):
    """Removes files only when told to."""

    def __init__(self) -> None:
        super().__init__()
        self.unwanted: list[str] = []

    def remove_later(self, name: str) -> None:
        """Note the file."""
        self.unwanted.append(name)

    def remove_unwanted(self) -> None:
        """Remove the noted files that are still there."""
        for name in self.unwanted:
            if name in self.files:
                self.remove(name)


@pytest.mark.parametrize('removes_all_files', [False, True])
def test_late_removal_takes_no_file_of_a_log_that_began_anew(
    *, removes_all_files: bool
) -> None:
    """Numbers of segments began again at 1 while one was to be removed."""
    disk = SlowDisk()
    store = LogStore(disk, segment_bytes=10)
    store.recover().unwrap()
    for record in _RECORDS:
        store.append_records((record,))
    store.remove_first_segment()
    if removes_all_files:
        store.remove_all_files()
    else:
        store.remove_all_segments()
    store.append_records((b'new',))
    disk.remove_unwanted()
    found = LogStore(disk).recover().unwrap()
    assert_that(found.records, Equals((b'new',)))


@given(stop_at=st.integers(0, 110), seed=st.integers(0, 1000))
def test_what_was_synced_outlives_a_crash_at_any_step(
    stop_at: int,
    seed: int,
) -> None:
    disk = FakeDisk()
    disk.fail_at_step = stop_at
    store = LogStore(disk, segment_bytes=80)
    store.recover().unwrap()
    kept: dict[str, list[bytes]] = {'records': [], 'state': [], 'snapshot': []}
    under_way = _Write('', b'', store.recover)
    try:
        for write in _list_writes(store):
            under_way = write
            write.perform()
            kept[write.kind].append(write.content)
    except CrashError:
        disk.fail_at_step = -1
    survivor = disk.after_crash(random.Random(seed))
    found = LogStore(survivor, segment_bytes=80).recover().unwrap()
    for kind, present in (
        ('state', found.hard_state),
        ('snapshot', found.snapshot),
    ):
        last = kept[kind][-1] if kept[kind] else b''
        newer = under_way.content if under_way.kind == kind else last
        assert_that(present, MatchesAny(Equals(last), Equals(newer)))
    acknowledged = [one for one in kept['records'] for _ in range(2)]
    rest = set(found.records[len(acknowledged) :])
    assert_that(found.records[: len(acknowledged)], Equals(tuple(acknowledged)))
    assert_that(rest - {under_way.content}, Equals(set()))


def test_files_of_the_machine_are_read_back(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    path = tmp_path_factory.mktemp('replica')
    with DiskDirectory(path) as files:
        store = LogStore(files, segment_bytes=20)
        assert isinstance(store.recover(), Success)
        for record in _RECORDS:
            store.append_records((record,))
        store.write_hard_state(b'term 1')
        store.write_hard_state(b'term 2')
        store.remove_first_segment()
    with DiskDirectory(path) as files:
        found = LogStore(files).recover().unwrap()
    assert_that(found.records, Equals(_RECORDS[1:]))
    assert_that(found.hard_state, Equals(b'term 2'))
