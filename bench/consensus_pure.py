"""Measures replicas without input and output: time and message sizes."""

import random
import time
from collections import deque
from typing import Final

import msgspec

from persimmonhold.consensus import (
    Envelope,
    HardState,
    Member,
    Persist,
    RaftLog,
    Replica,
    Send,
    Snapshot,
    Timings,
)

_COMMITS: Final = 2000
_PAYLOAD_BYTES: Final = 256
_WARM_UP_STEPS: Final = 1000
_STEP_S: Final = 0.001
_US_PER_S: Final = 1_000_000


class PureGroup:
    """Replicas whose messages and disk syncs take effect immediately."""

    def __init__(self, replica_count: int, seed: int) -> None:
        """Create a group that has no leader yet."""
        rng = random.Random(seed)
        self.now = 0.0
        self.event_count = 0
        self.is_recording_sizes = False
        self.largest_bytes: dict[str, int] = {}
        self.queue: deque[Envelope] = deque()
        addresses = {
            f'vm{number}': '10.0.0.1:7000' for number in range(replica_count)
        }
        self.replicas = {
            name: Replica(
                Member(f'{name}/{rng.getrandbits(64):016x}', address),
                addresses,
                HardState(replica=f'{name}/{rng.getrandbits(64):016x}'),
                RaftLog(Snapshot()),
                Timings(),
                rng,
                self.now,
            )
            for name, address in addresses.items()
        }

    @property
    def leader(self) -> Replica | None:
        """The leader that holds a lease, or None."""
        for replica in self.replicas.values():
            if replica.lease_until(self.now) > self.now:
                return replica
        return None

    def advance(self) -> None:
        """Advance the clock by 1 ms and process all due events."""
        self.now += _STEP_S
        for replica in self.replicas.values():
            if replica.next_wakeup <= self.now:
                self.event_count += 1
                replica.tick(self.now)
        self.deliver_all()

    def deliver_all(self) -> None:
        """Deliver messages until none is in flight."""
        self._perform_actions()
        while self.queue:
            envelope = self.queue.popleft()
            vm = envelope.receiver.partition('/')[0]
            self.event_count += 1
            self.replicas[vm].receive(envelope, self.now)
            self._perform_actions()

    def _perform_actions(self) -> None:
        for name, replica in self.replicas.items():
            for action in replica.take_actions():
                self._perform_action(name, action)

    def _perform_action(self, name: str, action: object) -> None:
        if isinstance(action, Persist):
            self.event_count += 1
            self.replicas[name].confirm_persisted(action.number, self.now)
        elif isinstance(action, Send):
            envelope = action.envelope
            if not envelope.receiver:
                envelope = msgspec.structs.replace(
                    envelope,
                    receiver=self.replicas[action.vm].core.replica,
                )
            self.queue.append(envelope)
            if self.is_recording_sizes:
                self._record_size(envelope)

    def _record_size(self, envelope: Envelope) -> None:
        name = type(envelope.message).__name__
        size = len(msgspec.msgpack.encode(envelope))
        self.largest_bytes[name] = max(self.largest_bytes.get(name, 0), size)


def measure_pure(replica_count: int, seed: int) -> dict[str, float]:
    """Return microseconds per event and bytes per message."""
    group = PureGroup(replica_count, seed)
    while group.leader is None:
        group.advance()
    leader = group.leader
    for _ in range(_WARM_UP_STEPS):
        group.advance()
    group.is_recording_sizes = True
    for _ in range(_WARM_UP_STEPS):
        group.advance()
    heartbeat_bytes = group.largest_bytes['Append']
    reply_bytes = group.largest_bytes['AppendReply']
    leader.propose((bytes(_PAYLOAD_BYTES),), group.now)
    group.deliver_all()
    entry_bytes = group.largest_bytes['Append'] - heartbeat_bytes
    group.is_recording_sizes = False
    group.event_count = 0
    started_at = time.perf_counter()
    for _ in range(_COMMITS):
        leader.propose((bytes(_PAYLOAD_BYTES),), group.now)
        group.event_count += 1
        group.deliver_all()
    elapsed_s = time.perf_counter() - started_at
    return {
        'us_per_event': elapsed_s / group.event_count * _US_PER_S,
        'events_per_commit': group.event_count / _COMMITS,
        'heartbeat_bytes': heartbeat_bytes,
        'reply_bytes': reply_bytes,
        'entry_overhead_bytes': entry_bytes - _PAYLOAD_BYTES,
    }
