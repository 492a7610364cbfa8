"""Steps of a leader: which acknowledgements it counts, and when."""

import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from persimmonhold.consensus import (
    Action,
    Boot,
    Configuration,
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Persist,
    RaftLog,
    ReadReady,
    Replica,
    Snapshot,
    Timings,
)
from persimmonhold.consensus._messages import (
    AppendReply,
    BootReport,
    Message,
    VoteReply,
)

_VOTERS = Configuration(tuple(Member(f'{one}/1', one) for one in 'abc'))
_BOOT = Boot(1, 7)
_OWN_ENTRY = 3
_NOW = 10.0


class _Candidate:
    """Replica `a` with an uncommitted entry of an earlier term at index 2."""

    def __init__(self) -> None:
        members = msgspec.msgpack.encode(_VOTERS)
        entries = (
            LogEntry(1, 1, EntryKind.configuration, members),
            LogEntry(2, 1, EntryKind.command, b'old'),
        )
        self.replica = Replica(
            Member('a/1', 'a'),
            {'a': 'a', 'b': 'b', 'c': 'c'},
            HardState(replica='a/1', term=1),
            RaftLog(Snapshot(), entries),
            Timings(),
            random.Random(1),
            0,
        )
        self.unsynced = 0

    def take_actions(self) -> list[Action]:
        """Return the actions; record the number of the last `Persist`."""
        actions = list(self.replica.take_actions())
        for action in actions:
            if isinstance(action, Persist):
                self.unsynced = action.number
        return actions

    def sync(self) -> list[Action]:
        self.replica.confirm_persisted(self.unsynced, _NOW)
        return self.take_actions()

    def deliver(self, sender: str, message: Message) -> list[Action]:
        envelope = Envelope(f'{sender}/1', 'a/1', message)
        self.replica.receive(envelope, _NOW)
        return self.take_actions()

    def acknowledge(
        self,
        sender: str,
        index: int,
        boots: dict[str, Boot] | None = None,
    ) -> list[Action]:
        known = {f'{sender}/1': _BOOT, **(boots or {})}
        sequence = 100
        reply = AppendReply(
            self.replica.core.term,
            is_success=True,
            index=index,
            sequence=sequence,
            sent_at=_NOW,
            boots=known,
        )
        return self.deliver(sender, reply)


@pytest.fixture
def leader() -> _Candidate:
    """Elect `a`; its first entry is at index 3 and not yet synced."""
    candidate = _Candidate()
    replica = candidate.replica
    candidate.take_actions()
    candidate.sync()
    boot = replica.core.current_boot
    for voter in 'bc':
        report = BootReport(boot, 1, 2, 1, _VOTERS, 1, is_void=False)
        candidate.deliver(voter, report)
    replica.tick(_NOW)
    term = replica.core.next_term
    candidate.deliver('b', VoteReply(term, is_granted=True, is_pre=True))
    candidate.sync()
    candidate.deliver('b', VoteReply(term, is_granted=True))
    assert replica.leadership is not None
    return candidate


def test_old_entries_are_not_committed_by_counting(leader: _Candidate) -> None:
    leader.sync()
    leader.acknowledge('b', _OWN_ENTRY - 1)
    leader.acknowledge('c', _OWN_ENTRY - 1)
    assert_that(leader.replica.core.commit_index, Equals(0))
    leader.acknowledge('b', _OWN_ENTRY)
    assert_that(leader.replica.core.commit_index, Equals(_OWN_ENTRY))


def test_leader_counts_itself_once_synced(leader: _Candidate) -> None:
    leader.acknowledge('b', _OWN_ENTRY)
    assert_that(leader.replica.core.commit_index, Equals(0))
    leader.sync()
    assert_that(leader.replica.core.commit_index, Equals(_OWN_ENTRY))


def test_reads_wait_for_an_entry_of_the_own_term(leader: _Candidate) -> None:
    leader.sync()
    leader.replica.request_reads((1,), _NOW)
    leader.take_actions()
    seen = leader.acknowledge('b', _OWN_ENTRY - 1)
    assert_that([one for one in seen if isinstance(one, ReadReady)], Equals([]))
    seen = leader.acknowledge('b', _OWN_ENTRY)
    assert_that(seen[-1], IsInstance(ReadReady))


def test_earlier_start_of_a_member_is_not_counted(leader: _Candidate) -> None:
    leader.acknowledge('b', _OWN_ENTRY)
    leader.acknowledge('c', 1, {'b/1': Boot(2, 8)})
    leader.sync()
    assert_that(leader.replica.core.commit_index, Equals(0))
    leader.acknowledge('b', _OWN_ENTRY)
    assert_that(leader.replica.core.commit_index, Equals(0))
    leader.acknowledge('b', _OWN_ENTRY, {'b/1': Boot(2, 8)})
    assert_that(leader.replica.core.commit_index, Equals(_OWN_ENTRY))


def test_truncated_entries_are_not_counted_as_synced() -> None:
    entries = [LogEntry(one, 1, EntryKind.command) for one in range(1, 6)]
    log = RaftLog(Snapshot(), entries)
    log.append([LogEntry(6, 1, EntryKind.command)])
    log.record_pending_sync(1)
    log.truncate(4)
    log.append([LogEntry(4, 2, EntryKind.command)])
    log.record_pending_sync(2)
    log.record_sync_completion(1)
    assert_that(log.synced_index, Equals(3))
    log.record_sync_completion(2)
    assert_that(log.synced_index, Equals(4))
