"""Pure replicas without disk or network: time and bytes."""

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
_SETTLING_STEPS: Final = 1000
_STEP_S: Final = 0.001
_US_PER_S: Final = 1_000_000


class PureGroup:
    """Replicas whose messages and syncs take effect at once."""

    def __init__(self, size: int, seed: int) -> None:
        """Create a group that has no leader yet."""
        generator = random.Random(seed)
        self.now = 0.0
        self.events = 0
        self.is_weighing = False
        self.largest_bytes: dict[str, int] = {}
        self.queue: deque[Envelope] = deque()
        initial = {f'vm{number}': '10.0.0.1:7000' for number in range(size)}
        self.replicas = {
            name: Replica(
                Member(f'{name}/{generator.getrandbits(64):016x}', address),
                initial,
                HardState(replica=f'{name}/{generator.getrandbits(64):016x}'),
                RaftLog(Snapshot()),
                Timings(),
                generator,
                self.now,
            )
            for name, address in initial.items()
        }

    @property
    def leader(self) -> Replica | None:
        """The replica that leads with a lease."""
        for replica in self.replicas.values():
            if replica.lease_until(self.now) > self.now:
                return replica
        return None

    def advance(self) -> None:
        """Let a millisecond pass."""
        self.now += _STEP_S
        for replica in self.replicas.values():
            if replica.next_wakeup <= self.now:
                self.events += 1
                replica.tick(self.now)
        self.settle()

    def settle(self) -> None:
        """Deliver until nothing is under way."""
        self._collect()
        while self.queue:
            envelope = self.queue.popleft()
            vm = envelope.receiver.partition('/')[0]
            self.events += 1
            self.replicas[vm].receive(envelope, self.now)
            self._collect()

    def _collect(self) -> None:
        for name, replica in self.replicas.items():
            for action in replica.take_actions():
                self._take(name, action)

    def _take(self, name: str, action: object) -> None:
        if isinstance(action, Persist):
            self.events += 1
            self.replicas[name].confirm_persisted(action.number, self.now)
        elif isinstance(action, Send):
            envelope = action.envelope
            if not envelope.receiver:
                envelope = msgspec.structs.replace(
                    envelope,
                    receiver=self.replicas[action.vm].core.replica,
                )
            self.queue.append(envelope)
            if self.is_weighing:
                self._weigh(envelope)

    def _weigh(self, envelope: Envelope) -> None:
        name = type(envelope.message).__name__
        size = len(msgspec.msgpack.encode(envelope))
        self.largest_bytes[name] = max(self.largest_bytes.get(name, 0), size)


def measure_pure(size: int, seed: int) -> dict[str, float]:
    """Return microseconds an event and bytes a message."""
    group = PureGroup(size, seed)
    while group.leader is None:
        group.advance()
    leader = group.leader
    for _ in range(_SETTLING_STEPS):
        group.advance()
    group.is_weighing = True
    for _ in range(_SETTLING_STEPS):
        group.advance()
    heartbeat = group.largest_bytes['Append']
    reply = group.largest_bytes['AppendReply']
    leader.propose((bytes(_PAYLOAD_BYTES),), group.now)
    group.settle()
    entry = group.largest_bytes['Append'] - heartbeat
    group.is_weighing = False
    group.events = 0
    started = time.perf_counter()
    for _ in range(_COMMITS):
        leader.propose((bytes(_PAYLOAD_BYTES),), group.now)
        group.events += 1
        group.settle()
    taken_s = time.perf_counter() - started
    return {
        'us_per_event': taken_s / group.events * _US_PER_S,
        'events_per_commit': group.events / _COMMITS,
        'heartbeat_bytes': heartbeat,
        'reply_bytes': reply,
        'entry_overhead_bytes': entry - _PAYLOAD_BYTES,
    }
