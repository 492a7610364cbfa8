"""Random faults in a group of replicas; `Group` checks the invariants."""

import random
from itertools import permutations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from persimmonhold.consensus import Timings
from tests._consensus_group import TIMINGS, Disk, Group, Node

_VMS = st.integers(0, 5)
_SECONDS = st.floats(0.01, 2.0)
_KEPT_WRITES = st.integers(0, 6)
_FOREVER_S = 1e9


class _FaultyGroup(RuleBasedStateMachine):
    """Three to five voters and a spare VM with combined faults.

    Wiped and outdated disks are limited to what the group tolerates: a quorum
    of the voters keeps its disks. With outdated disks, the verification of a
    start never times out, since an outdated disk and long network cuts
    together may exceed what the group tolerates.
    """

    def __init__(self) -> None:
        super().__init__()
        self.group = Group(3)
        self.backups: dict[str, Disk] = {}
        self.outdated: dict[str, str] = {}
        self.lost_before_commit: set[str] = set()
        self.payloads = 0
        self.has_older = False

    @initialize(
        voters=st.integers(3, 5),
        seed=st.integers(0, 10_000),
        is_formed=st.booleans(),
        has_older=st.booleans(),
    )
    def begin(
        self,
        voters: int,
        seed: int,
        is_formed: bool,
        has_older: bool,
    ) -> None:
        self.has_older = has_older
        timeout_s = _FOREVER_S if has_older else 1.0
        timings = _with_verification(TIMINGS, timeout_s)
        self.group = Group(voters, 1, timings, seed)
        if is_formed:
            self.group.run(3)

    @rule(
        seconds=_SECONDS,
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.5]),
        latency_s=st.sampled_from([0.02, 0.02, 0.4]),
        sync_s=st.sampled_from([0.005, 0.005, 0.3]),
    )
    def run(
        self,
        seconds: float,
        loss: float,
        latency_s: float,
        sync_s: float,
    ) -> None:
        self.group.loss = loss
        self.group.latency_s = latency_s
        self.group.sync_s = sync_s
        self.group.run(seconds)

    @rule(seed=st.integers(0, 10_000), count=st.integers(1, 40))
    def disturb(self, seed: int, count: int) -> None:
        """Inject many small faults in a row, with proposals and reads."""
        rng = random.Random(seed)
        faults = [
            self._cut_random_links,
            self._crash_random_node,
            self._transfer_leadership,
            self.group.clear_faults,
        ]
        for _ in range(count):
            rng.choice(faults[: rng.choice([1, 4])])()
            self.payloads += 1
            self.group.propose(b'%d' % self.payloads)
            self.group.read(self._name(rng.randrange(6)))
            self.group.run(rng.choice([0.01, 0.1, 0.7]))

    @rule(count=st.integers(1, 12), seconds=st.floats(0, 0.1))
    def propose(self, count: int, seconds: float) -> None:
        for _ in range(count):
            self.payloads += 1
            self.group.propose(b'%d' % self.payloads)
            self.group.run(seconds)

    @rule(vm=_VMS, seconds=st.floats(0, 0.2))
    def read(self, vm: int, seconds: float) -> None:
        self.group.read(self._name(vm))
        self.group.run(seconds)

    @rule(one=_VMS, other=_VMS, is_both=st.booleans())
    def cut(self, one: int, other: int, is_both: bool) -> None:
        first, second = self._name(one), self._name(other)
        self.group.cuts.add((first, second))
        if is_both:
            self.group.cuts.add((second, first))

    @rule(seconds=st.floats(0.1, 5.0), can_send=st.booleans())
    def isolate_leader(self, seconds: float, can_send: bool) -> None:
        """Isolate the leader; with `can_send` it can still send messages."""
        leader = self.group.leader
        if leader is None:
            return
        for name in self.group.nodes:
            self.group.cuts.add((name, leader.vm))
            if not can_send:
                self.group.cuts.add((leader.vm, name))
        self.group.run(seconds)

    @rule()
    def heal(self) -> None:
        self.group.cuts.clear()

    @rule(vm=_VMS, kept=_KEPT_WRITES)
    def crash(self, vm: int, kept: int) -> None:
        self.group.crash(self._name(vm), kept)

    @rule(vm=_VMS)
    def restart(self, vm: int) -> None:
        if self.group.nodes[self._name(vm)].replica is None:
            self.group.start(self._name(vm))

    @rule(vm=_VMS)
    def transfer(self, vm: int) -> None:
        node = self.group.nodes[self._name(vm)]
        if node.replica:
            node.replica.transfer_leadership(self.group.now)
            self.group.perform_actions(node)

    @rule(vm=_VMS, kept=st.integers(0, 4))
    def snapshot(self, vm: int, kept: int) -> None:
        self.group.snapshot(self._name(vm), kept)

    @rule(vm=_VMS)
    def back_up(self, vm: int) -> None:
        name = self._name(vm)
        self.backups[name] = self.group.nodes[name].disk.copy()

    @precondition(lambda machine: machine.backups and machine.has_older)
    @rule(data=st.data())
    def restore_older(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.backups)))
        node = self.group.nodes[name]
        backup = self.backups.pop(name)
        if backup.hard_state.replica != node.disk.hard_state.replica:
            return
        if self._can_lose_disk(name):
            self.outdated[name] = node.disk.hard_state.replica
            self.group.crash(name)
            node.disk = backup
            self.group.start(name)

    @rule(vm=_VMS)
    def wipe(self, vm: int) -> None:
        name = self._name(vm)
        if self._can_lose_disk(name):
            self.group.wipe(name)
            self.group.start(name)

    @invariant()
    def logs_match(self) -> None:
        self.group.check_log_matching()

    def teardown(self) -> None:
        """End all faults; the group must then commit again and agree."""
        group = self.group
        group.clear_faults()
        for name, node in group.nodes.items():
            if node.replica is None:
                group.start(name)
            core = node.live.core
            core.timings = _with_verification(core.timings, 5.0)
        group.run(40, until=self._has_stable_leader)
        assert self._has_stable_leader(), group.describe()
        before = group.last_committed
        assert group.propose(b'last'), 'proposal refused after healing'
        group.run(5, until=lambda: group.last_committed > before)
        assert group.last_committed > before, group.describe()
        group.run(1)
        group.check_log_matching()

    def _cut_random_links(self) -> None:
        pairs = list(permutations(sorted(self.group.nodes), 2))
        count = self.group.random.randrange(len(pairs) // 2)
        self.group.cuts = set(self.group.random.sample(pairs, count))

    def _crash_random_node(self) -> None:
        for name, node in self.group.nodes.items():
            if node.replica is None:
                self.group.start(name)
        crashed = self.group.random.choice(sorted(self.group.nodes))
        self.group.crash(crashed, self.group.random.randrange(4))

    def _transfer_leadership(self) -> None:
        for node in self.group.running:
            node.live.transfer_leadership(self.group.now)
            self.group.perform_actions(node)

    def _name(self, vm: int) -> str:
        names = sorted(self.group.nodes)
        return names[vm % len(names)]

    def _has_stable_leader(self) -> bool:
        leader = self.group.leader
        if leader is None or leader.live.leadership is None:
            return False
        return not leader.live.leadership.successor

    def _can_lose_disk(self, name: str) -> bool:
        """Return whether the latest configurations keep a quorum of disks."""
        if not self.group.committed:
            self.lost_before_commit.add(name)
            return len(self.lost_before_commit) * 2 < len(self.group.initial)
        logs = [
            node.live.core.log if node.replica else node.disk.log()
            for node in self._nodes()
        ]
        indexes = sorted({log.configuration_index for log in logs})
        kept = {
            node.disk.hard_state.replica
            for node in self._nodes()
            if node.vm != name and not self._is_outdated(node)
        }
        return all(
            log.configuration.is_quorum(kept)
            for log in logs
            if log.configuration_index in indexes[-2:] and log.last_index
        )

    def _nodes(self) -> list[Node]:
        return list(self.group.nodes.values())

    def _is_outdated(self, node: Node) -> bool:
        """Return whether a disk may lack what its replica acknowledged."""
        if self.outdated.get(node.vm) != node.disk.hard_state.replica:
            return False
        is_checked = node.replica and node.live.core.verification.is_done
        last = node.disk.log().last_index
        if is_checked and last >= self.group.last_committed:
            self.outdated.pop(node.vm)
            return False
        return True


def _with_verification(timings: Timings, timeout_s: float) -> Timings:
    return msgspec.structs.replace(
        timings,
        verification_timeout_s=timeout_s,
    )


TestFaultyGroup = _FaultyGroup.TestCase
TestFaultyGroup.settings = settings(
    max_examples=40,
    stateful_step_count=30,
)
