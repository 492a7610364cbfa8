"""Simulates a group of replicas in virtual time, and checks invariants.

The network and the disks are simulated as well.
"""

import heapq
import random
from collections.abc import Callable
from functools import partial
from itertools import combinations
from typing import NamedTuple, TypeAlias

import msgspec

from persimmonhold.consensus import (
    Action,
    Apply,
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Persist,
    RaftLog,
    ReadReady,
    Replica,
    ResetReplica,
    Restore,
    Send,
    Snapshot,
    Timings,
)

TIMINGS = Timings(
    verification_timeout_s=1e9,
    replacement_timeout_s=2.0,
    max_append_bytes=200,
    snapshot_chunk_bytes=64,
)


_Event: TypeAlias = Callable[[], None]
_Condition: TypeAlias = Callable[[], bool]


_DELIVERY_COUNTS = (1,) * 9 + (2,)
_LATENCY_S = 0.02
_SYNC_S = 0.005


class ScheduledEvent(NamedTuple):
    """An event at a point of virtual time; `serial` breaks ties."""

    due: float
    serial: int
    event: _Event


class Disk:
    """The synced data, and the unsynced writes that a crash may lose."""

    def __init__(self, vm: str, incarnation: int) -> None:
        self.hard_state = HardState(replica=f'{vm}/{incarnation}')
        self.snapshot = Snapshot()
        self.entries: list[LogEntry] = []
        self.unsynced: list[Persist] = []

    def flush(self, count: int) -> int:
        """Sync the oldest writes; return the number of the last one."""
        flushed = self.unsynced[:count]
        self.unsynced = self.unsynced[count:]
        for persist in flushed:
            self._store(persist)
        return flushed[-1].number if flushed else 0

    def copy(self) -> 'Disk':
        other = Disk('', 0)
        other.hard_state = self.hard_state
        other.snapshot = self.snapshot
        other.entries = list(self.entries)
        return other

    def log(self) -> RaftLog:
        return RaftLog(self.snapshot, self.entries)

    def _store(self, persist: Persist) -> None:
        self.hard_state = persist.hard_state or self.hard_state
        if persist.snapshot is not None:
            self.snapshot = persist.snapshot
            covered = persist.snapshot.index
            self.entries = [
                one
                for one in self.entries
                if not persist.is_reset and one.index > covered
            ]
        for entry in persist.entries:
            self.entries = [
                one for one in self.entries if one.index < entry.index
            ]
            self.entries.append(entry)


class Node:
    """A VM with its disk, its replica while running, and the applied state."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.incarnation = 1
        self.disk = Disk(vm, 1)
        self.replica: Replica | None = None
        self.applied_index = 0
        self.applied: list[bytes] = []

    @property
    def live(self) -> Replica:
        assert self.replica is not None
        return self.replica


class Group:
    """Replicas and the messages between them, with invariant checks."""

    def __init__(
        self,
        voters: int,
        spares: int = 0,
        timings: Timings = TIMINGS,
        seed: int = 0,
    ) -> None:
        names = [f'vm{number}' for number in range(voters + spares)]
        self.initial = {name: f'{name}:1' for name in names[:voters]}
        self.random = random.Random(seed)
        self.timings = timings
        self.now = 0.0
        self.loss = 0.0
        self.latency_s = _LATENCY_S
        self.sync_s = _SYNC_S
        self.nodes = {name: Node(name) for name in names}
        self.cuts: set[tuple[str, str]] = set()
        self.queue: list[ScheduledEvent] = []
        self.serial = 0
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, LogEntry] = {}
        self.reads: dict[int, int] = {}
        self.completed_reads = 0
        for name in names:
            self.start(name)

    @property
    def leader(self) -> Node | None:
        """The node that holds a valid lease."""
        for node in self.running:
            if node.live.lease_until(self.now) > self.now:
                return node
        return None

    @property
    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.replica]

    @property
    def last_committed(self) -> int:
        return len(self.committed)

    def start(self, vm: str) -> None:
        node = self.nodes[vm]
        node.replica = Replica(
            Member(node.disk.hard_state.replica, f'{vm}:1'),
            self.initial,
            node.disk.hard_state,
            node.disk.log(),
            self.timings,
            random.Random(self.random.random()),
            self.now,
        )
        self._restore(node, node.disk.snapshot)
        self.perform_actions(node)

    def crash(self, vm: str, kept_writes: int = 0) -> None:
        """Stop a node; some unsynced writes may have reached the disk."""
        node = self.nodes[vm]
        node.replica = None
        node.disk.flush(kept_writes)
        node.disk.unsynced = []

    def wipe(self, vm: str) -> None:
        self.crash(vm)
        node = self.nodes[vm]
        node.incarnation += 1
        node.disk = Disk(vm, node.incarnation)

    def propose(self, payload: bytes) -> int:
        """Propose at every replica that believes it is the leader."""
        index = 0
        for node in self.running:
            if node.live.leadership is not None:
                tagged = payload + b'@' + node.vm.encode()
                index = node.live.propose((tagged,), self.now) or index
                self.perform_actions(node)
        return index

    def sync_later(self, node: Node, number: int) -> None:
        """Schedule the sync of the writes up to a number."""
        self._schedule(self.sync_s, partial(self._sync, node, number))

    def clear_faults(self) -> None:
        """End all network faults and delays of network and disks."""
        self.cuts.clear()
        self.loss = 0
        self.latency_s = _LATENCY_S
        self.sync_s = _SYNC_S

    def read(self, vm: str) -> None:
        node = self.nodes[vm]
        self.serial += 1
        self.reads[self.serial] = self.last_committed
        if node.replica and node.replica.request_reads(
            (self.serial,), self.now
        ):
            self.perform_actions(node)

    def snapshot(self, vm: str, kept_entries: int) -> None:
        """Store a snapshot of the applied state and compact the log."""
        node = self.nodes[vm]
        if not node.replica or node.disk.unsynced:
            return
        state = msgspec.msgpack.encode(node.applied)
        taken = node.live.build_snapshot(node.applied_index, state)
        log = node.live.core.log
        if taken.index > log.snapshot.index:
            node.live.compact(taken, kept_entries)
            node.disk.snapshot = taken
            node.disk.entries = list(
                log.entries_between(log.base_index + 1, log.last_index),
            )

    def run(self, seconds: float, until: _Condition | None = None) -> None:
        """Advance the time; stop early once `until` holds."""
        end = self.now + seconds
        while until is None or not until():
            wakeups = [
                max(self.now, node.live.next_wakeup) for node in self.running
            ]
            due = min(wakeups, default=float('inf'))
            if self.queue and self.queue[0].due <= min(due, end):
                timer = heapq.heappop(self.queue)
                self.now = timer.due
                timer.event()
            elif due <= end:
                self.now = due
                self._tick()
            else:
                self.now = end
                return

    def perform_actions(self, node: Node) -> None:
        """Perform the actions of a replica and check the invariants."""
        for action in node.live.take_actions():
            self._perform_action(node, action)
            if node.replica is None:
                return
        self.check_invariants(node)

    def check_invariants(self, node: Node) -> None:
        replica = node.live
        if replica.leadership is not None:
            known = self.leaders.setdefault(
                replica.core.term,
                replica.core.replica,
            )
            assert known == replica.core.replica, 'two leaders in a term'
            log = replica.core.log
            since = max(self.last_committed, replica.core.commit_index)
            changes = [
                one
                for one in log.entries_between(since + 1, log.last_index)
                if one.kind is EntryKind.configuration
            ]
            assert len(changes) <= 1, 'two membership changes at once'
        leases = [
            one.vm
            for one in self.running
            if one.live.lease_until(self.now) > self.now
        ]
        assert len(leases) <= 1, f'two leases: {leases}'

    def describe(self) -> str:
        """Return a line for each node, for the messages of failed checks."""
        return f'{self.now} {len(self.queue)} ' + '\n'.join(
            f'{one.live.core.replica} {one.live.core.role.value}'
            f' term={one.live.core.term} last={one.live.core.log.last_position}'
            f' commit={one.live.core.commit_index}'
            f' floor={one.live.core.verification.floor}'
            f' verified={one.live.core.verification.is_done}'
            f' since={one.live.core.verification.started_at}'
            f' answers={sorted(one.live.core.verification.responders)}'
            f' voters={one.live.configuration.voters}'
            for one in self.running
        )

    def check_log_matching(self) -> None:
        """Check that logs which agree at an index and term agree before it."""
        for first, second in combinations(self.running, 2):
            one, two = first.live.core.log, second.live.core.log
            since = max(one.base_index, two.base_index) + 1
            last = min(one.last_index, two.last_index)
            if since > last:
                continue
            pairs = tuple(
                zip(
                    one.entries_between(since, last),
                    two.entries_between(since, last),
                    strict=True,
                ),
            )
            agreed = [one.term == two.term for one, two in pairs]
            while agreed and not agreed[-1]:
                agreed.pop()
            for left, right in pairs[: len(agreed)]:
                assert left == right, 'logs do not match'

    def _tick(self) -> None:
        for node in self.running:
            if node.live.next_wakeup <= self.now:
                node.live.tick(self.now)
                self.perform_actions(node)

    def _perform_action(self, node: Node, action: Action) -> None:
        match action:
            case Send():
                self._send(node.vm, action)
            case Persist():
                node.disk.unsynced.append(action)
                self.sync_later(node, action.number)
            case Apply():
                for entry in action.entries:
                    self._apply(node, entry)
            case Restore():
                self._restore(node, action.snapshot)
            case ReadReady():
                self._complete_reads(node, action)
            case ResetReplica():
                self.wipe(node.vm)
                self.start(node.vm)

    def _send(self, sender: str, action: Send) -> None:
        deliver = partial(self._deliver, sender, action.vm, action.envelope)
        for _ in range(self.random.choice(_DELIVERY_COUNTS)):
            if self.random.random() >= self.loss:
                self._schedule(self.latency_s, deliver)

    def _schedule(self, max_delay_s: float, event: _Event) -> None:
        self.serial += 1
        due = self.now + self.random.random() * max_delay_s
        heapq.heappush(self.queue, ScheduledEvent(due, self.serial, event))

    def _deliver(self, sender: str, vm: str, envelope: Envelope) -> None:
        node = self.nodes.get(vm)
        if node is None or not node.replica or (sender, vm) in self.cuts:
            return
        encoded = msgspec.msgpack.encode(envelope)
        node.replica.receive(
            msgspec.msgpack.decode(encoded, type=Envelope),
            self.now,
        )
        self.perform_actions(node)

    def _sync(self, node: Node, number: int) -> None:
        """Sync writes up to a number, unless a crash has dropped them."""
        pending = node.disk.unsynced
        count = sum(one.number <= number for one in pending)
        is_known = any(one.number == number for one in pending)
        if node.replica and is_known:
            node.replica.confirm_persisted(node.disk.flush(count), self.now)
            self.perform_actions(node)

    def _apply(self, node: Node, entry: LogEntry) -> None:
        assert entry.index == node.applied_index + 1, 'gap in applying'
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, f'committed entry changed: {known} {entry}'
        node.applied_index = entry.index
        if entry.kind is EntryKind.command:
            assert entry.payload not in node.applied, 'applied twice'
            node.applied.append(entry.payload)

    def _restore(self, node: Node, snapshot: Snapshot) -> None:
        node.applied_index = snapshot.index
        node.applied = (
            msgspec.msgpack.decode(snapshot.state, type=list[bytes])
            if snapshot.state
            else []
        )

    def _complete_reads(self, node: Node, action: ReadReady) -> None:
        for token in action.tokens:
            assert action.index >= self.reads[token], 'stale read'
            assert node.applied_index >= action.index, 'read too early'
            self.completed_reads += 1
