"""Random faults on a group of replicas; `Group` checks the invariants."""

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
_KEPT = st.integers(0, 6)
_FOREVER_S = 1e9


class _FaultyGroup(RuleBasedStateMachine):
    """Three to five voters and a spare VM under every fault at once.

    Lost disks, wiped or older, are kept to what the group tolerates: a
    quorum of the voters keeps its disks. Where disks come back older, replicas
    wait for all the answers they need, since an older disk and long cuts
    together may be more losses than the group tolerates.
    """

    def __init__(self) -> None:
        super().__init__()
        self.group = Group(3)
        self.backups: dict[str, Disk] = {}
        self.impaired: dict[str, str] = {}
        self.lost_early: set[str] = set()
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
        """Many small faults in a row, with proposals and reads between."""
        generator = random.Random(seed)
        faults = [
            self._disturb_cut,
            self._disturb_crash,
            self._disturb_transfer,
            self.group.calm,
        ]
        for _ in range(count):
            generator.choice(faults[: generator.choice([1, 4])])()
            self.payloads += 1
            self.group.propose(b'%d' % self.payloads)
            self.group.read(self._name(generator.randrange(6)))
            self.group.run(generator.choice([0.01, 0.1, 0.7]))

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

    @rule(seconds=st.floats(0.1, 5.0), is_deaf=st.booleans())
    def isolate_leader(self, seconds: float, is_deaf: bool) -> None:
        """Cut the leader off for long; `is_deaf` still lets it send."""
        leader = self.group.leader
        if leader is None:
            return
        for name in self.group.nodes:
            self.group.cuts.add((name, leader.vm))
            if not is_deaf:
                self.group.cuts.add((leader.vm, name))
        self.group.run(seconds)

    @rule()
    def heal(self) -> None:
        self.group.cuts.clear()

    @rule(vm=_VMS, kept=_KEPT)
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
            self.group.perform(node)

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
        if self._may_lose(name):
            self.impaired[name] = node.disk.hard_state.replica
            self.group.crash(name)
            node.disk = backup
            self.group.start(name)

    @rule(vm=_VMS)
    def wipe(self, vm: int) -> None:
        name = self._name(vm)
        if self._may_lose(name):
            self.group.wipe(name)
            self.group.start(name)

    @invariant()
    def logs_match(self) -> None:
        self.group.check_log_matching()

    def teardown(self) -> None:
        """Every fault ends: the group must serve again and agree."""
        group = self.group
        group.calm()
        for name, node in group.nodes.items():
            if node.replica is None:
                group.start(name)
            core = node.live.core
            core.timings = _with_verification(core.timings, 5.0)
        group.run(40, until=self._is_whole)
        assert self._is_whole(), group.describe()
        before = group.last_committed
        assert group.propose(b'last'), 'proposal refused after healing'
        group.run(5, until=lambda: group.last_committed > before)
        assert group.last_committed > before, group.describe()
        group.run(1)
        group.check_log_matching()

    def _disturb_cut(self) -> None:
        pairs = list(permutations(sorted(self.group.nodes), 2))
        count = self.group.random.randrange(len(pairs) // 2)
        self.group.cuts = set(self.group.random.sample(pairs, count))

    def _disturb_crash(self) -> None:
        for name, node in self.group.nodes.items():
            if node.replica is None:
                self.group.start(name)
        crashed = self.group.random.choice(sorted(self.group.nodes))
        self.group.crash(crashed, self.group.random.randrange(4))

    def _disturb_transfer(self) -> None:
        for node in self.group.running:
            node.live.transfer_leadership(self.group.now)
            self.group.perform(node)

    def _name(self, vm: int) -> str:
        names = sorted(self.group.nodes)
        return names[vm % len(names)]

    def _is_whole(self) -> bool:
        leader = self.group.leader
        if leader is None or leader.live.leadership is None:
            return False
        return not leader.live.leadership.successor

    def _may_lose(self, name: str) -> bool:
        """Tell whether a quorum of each newest configuration keeps its disks."""
        if not self.group.committed:
            self.lost_early.add(name)
            return len(self.lost_early) * 2 < len(self.group.initial)
        logs = [
            node.live.core.log if node.replica else node.disk.log()
            for node in self._nodes()
        ]
        indexes = sorted({log.configuration_index for log in logs})
        kept = {
            node.disk.hard_state.replica
            for node in self._nodes()
            if node.vm != name and not self._is_impaired(node)
        }
        return all(
            log.configuration.is_quorum(kept)
            for log in logs
            if log.configuration_index in indexes[-2:] and log.last_index
        )

    def _nodes(self) -> list[Node]:
        return list(self.group.nodes.values())

    def _is_impaired(self, node: Node) -> bool:
        """Tell whether an older disk may still lack what it acknowledged."""
        if self.impaired.get(node.vm) != node.disk.hard_state.replica:
            return False
        is_checked = node.replica and node.live.core.verification.is_done
        last = node.disk.log().last_index
        if is_checked and last >= self.group.last_committed:
            self.impaired.pop(node.vm)
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
