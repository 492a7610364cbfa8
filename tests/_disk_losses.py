"""Random losses of VMs and disks within what the platform allows."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple, final

import msgspec

from persimmonhold.consensus import Replica, vm_of
from tests._consensus_group import TIMINGS, Group, Node

# The values of the platform for deployments that may lose two disks.
_TIMINGS: Final = msgspec.structs.replace(
    TIMINGS,
    heartbeat_s=0.08,
    election_timeout_s=0.45,
    verification_timeout_s=0.5,
    replacement_timeout_s=1.5,
    max_append_bytes=262_144,
    snapshot_chunk_bytes=65_536,
)
_SEEDS: Final = 3
_CATCH_UP_S: Final = 6.0
_RECOVERY_S: Final = 15.0
_MAX_VOTER_WAIT_S: Final = 3.0
_MAX_ACCEPTANCE_S: Final = 3.5
_STEP_S: Final = 0.02
_FORMATION_S: Final = 10.0
_LOG_LINES: Final = 25
_FAULTS_PER_END: Final = 8


def _never() -> bool:
    return False


@final
class _LossGroup(Group):
    """A group of three seeds that grows to `target` voters.

    After the first start a VM is told three seeds of that moment.
    """

    target = 0
    is_first_start = True

    def start(self, vm: str) -> None:
        """Start a VM; only the first start may found the group."""
        if not self.is_first_start:
            known = sorted(self.nodes)
            chosen = self.random.sample(known, min(_SEEDS, len(known)))
            self.initial = {name: f'{name}:1' for name in chosen}
        super().start(vm)
        live = self.nodes[vm].live
        live.target_voters = self.target
        live.joiner.can_bootstrap = self.is_first_start


class _Change(NamedTuple):
    """A change that was proposed at a replica, and when it was committed."""

    payload: bytes
    node: Node
    replica: Replica
    committed_at: float = 0


@final
class Changes:
    """Proposes changes, and acknowledges them as a control VM does.

    A committed change is acknowledged once no voters are missing, or after a
    wait.
    """

    def __init__(self, group: Group) -> None:
        self.group = group
        self.acknowledged: list[bytes] = []
        self._proposed: list[_Change] = []
        self._committed: list[_Change] = []
        self._serial = 0

    def propose(self) -> None:
        """Send a change to the leader, if there is one."""
        leader = self.group.leader
        if leader is None:
            return
        self._serial += 1
        payload = b'%d' % self._serial
        if leader.live.propose((payload,), self.group.now):
            self._proposed.append(_Change(payload, leader, leader.live))
        self.group.perform_actions(leader)

    def update(self) -> None:
        """Acknowledge what is due; drop what a replica forgot by a start."""
        now = self.group.now
        proposed = [one for one in self._proposed if _is_running(one)]
        applied = [one for one in proposed if one.payload in one.node.applied]
        self._proposed = [one for one in proposed if one not in applied]
        waiting = [one for one in self._committed if self._is_leading(one)]
        waiting += [one._replace(committed_at=now) for one in applied]
        due = [one for one in waiting if self._is_due(one)]
        self.acknowledged += [one.payload for one in due]
        self._committed = [one for one in waiting if one not in due]

    def _is_leading(self, change: _Change) -> bool:
        return _is_running(change) and change.replica.leadership is not None

    def _is_due(self, change: _Change) -> bool:
        now = self.group.now
        leadership = change.replica.leadership
        if leadership is None or change.replica.lease_until(now) <= now:
            return False
        return (
            not leadership.is_short_of_voters(now)
            or now - change.committed_at >= _MAX_VOTER_WAIT_S
        )


def _is_running(change: _Change) -> bool:
    return change.node.replica is change.replica


@final
class LossScenario:
    """Disturbs a group, and knows what has been acknowledged.

    Any number of VMs may be off, cut off or frozen. At most `tolerance` disks
    are lost at the same time. A disk counts as lost until its VM, or the one
    that replaces it, has been back for `catch-up-s` while no more VMs than that
    were lost.
    """

    def __init__(self, seed: int, tolerance: int, spares: int) -> None:
        self.rng = random.Random(seed)
        target = 2 * tolerance + 1
        _LossGroup.target = target
        self.group = _LossGroup(
            _SEEDS, target - _SEEDS + spares, _TIMINGS, seed
        )
        self.group.is_first_start = False
        self.tolerance = tolerance
        self.changes = Changes(self.group)
        self.absent_until: dict[str, float] = {}
        self.lost_disks: dict[str, float] = {}
        self._frozen: dict[str, Replica] = {}
        self._log: list[str] = []
        self._last_members = ''
        self._replaced = 0

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the newest configuration on any disk."""
        logs = [node.disk.log() for node in self.group.nodes.values()]
        newest = max(logs, key=lambda log: log.configuration_index)
        return newest.configuration.voters

    def form(self) -> None:
        """Run until the group has its full size, as days begin calm."""
        self.run(_FORMATION_S, self._is_formed)
        assert self._is_formed(), self.group.describe()

    def run(self, seconds: float, until: Callable[[], bool] = _never) -> None:
        """Advance the time in steps, with acknowledgements and returns."""
        end = self.group.now + seconds
        while self.group.now < end and not until():
            self.group.run(min(_STEP_S, end - self.group.now))
            self.changes.update()
            self._end_absences()
            self._count_lost_disks()
            self._log_members()

    def acknowledge(self) -> None:
        """Send a change and wait until it is acknowledged, if it is."""
        before = len(self.changes.acknowledged)
        self.changes.propose()
        self.run(
            _MAX_ACCEPTANCE_S,
            lambda: len(self.changes.acknowledged) > before,
        )

    def can_lose_disk(self, vm: str) -> bool:
        """Return whether no more disks are then lost than may be."""
        return vm in self.lost_disks or len(self.lost_disks) < self.tolerance

    def wipe(self, vm: str, seconds: float) -> None:
        """Stop a VM, which loses its disk; it is back after `seconds`."""
        if not self.can_lose_disk(vm):
            return
        self._note(f'wipe {vm}')
        self._frozen.pop(vm, None)
        self.group.wipe(vm)
        self.lost_disks[vm] = 0
        self.absent_until[vm] = self.group.now + seconds

    def crash(self, vm: str, seconds: float) -> None:
        """Stop a VM, which keeps its disk."""
        self._note(f'crash {vm}')
        self._frozen.pop(vm, None)
        self.group.crash(vm, self.rng.randrange(3))
        self.absent_until[vm] = self.group.now + seconds

    def freeze(self, vm: str, seconds: float) -> None:
        """Suspend a VM, which loses the messages that arrive meanwhile."""
        node = self.group.nodes[vm]
        if node.replica is None:
            return
        self._note(f'freeze {vm}')
        self._frozen[vm] = node.replica
        node.replica = None
        self.absent_until[vm] = self.group.now + seconds

    def cut(self, vms: list[str], seconds: float) -> None:
        """Cut some VMs off from all others."""
        self._note(f'cut {vms}')
        others = set(self.group.nodes) - set(vms)
        for vm in vms:
            self.group.cuts |= {(vm, other) for other in others}
            self.group.cuts |= {(other, vm) for other in others}
            until = self.group.now + seconds
            self.absent_until[vm] = max(self.absent_until.get(vm, 0), until)

    def replace(self, vm: str, seconds: float) -> None:
        """Remove a VM for good; another starts after `seconds`."""
        if not self.can_lose_disk(vm):
            return
        self._replaced += 1
        name = f'{vm}x{self._replaced}'
        self._note(f'replace {vm} by {name}')
        self._frozen.pop(vm, None)
        self.group.crash(vm)
        self.group.nodes.pop(vm)
        self.absent_until.pop(vm, None)
        self.lost_disks.pop(vm, None)
        self.group.nodes[name] = Node(name)
        self.lost_disks[name] = 0
        self.absent_until[name] = self.group.now + seconds

    def add_spare(self) -> str:
        """Start one more VM with an empty disk; return its name."""
        name = f'vm{len(self.group.nodes)}'
        self._note(f'add {name}')
        self.group.nodes[name] = Node(name)
        self.group.start(name)
        return name

    def crash_all_but_wipe(self, lost: set[str]) -> None:
        """Stop all VMs at once; those in `lost` lose their disks."""
        for vm in tuple(self.group.nodes):
            if vm in lost:
                self.wipe(vm, 0.5)
            else:
                self.crash(vm, 0.5)

    def transfer(self) -> None:
        """Have the leader hand over."""
        leader = self.group.leader
        if leader is not None:
            self._note('transfer')
            leader.live.transfer_leadership(self.group.now)
            self.group.perform_actions(leader)

    def crash_all(self) -> None:
        """Stop all VMs at once; as many as may be lose their disks."""
        self.changes.update()
        names = sorted(self.group.nodes)
        self.rng.shuffle(names)
        voters = {vm_of(voter) for voter in self.voters}
        wiped = self.rng.choice([0, self.tolerance, self.tolerance])
        for vm in names:
            delay = self.rng.choice([0.3, 1.0]) * self.rng.random()
            if wiped and vm in voters and self.can_lose_disk(vm):
                wiped -= 1
                self.wipe(vm, delay)
            else:
                self.crash(vm, delay)

    def disturb(self) -> None:
        """Inject one random loss."""
        names = sorted(self.group.nodes)
        vm = self.rng.choice(names)
        leader = self.group.leader
        if leader is not None and self.rng.randrange(10) < 3:
            vm = leader.vm
        seconds = self.rng.choice([0.2, 1.0, 2.0, 4.0]) * self.rng.random()
        losses: tuple[Callable[[], None], ...] = (
            lambda: self.wipe(vm, seconds),
            lambda: self.wipe(vm, seconds),
            lambda: self.crash(vm, seconds),
            lambda: self.freeze(vm, seconds),
            lambda: self.cut([vm], seconds),
            lambda: self.cut(self.rng.sample(names, len(names) // 2), seconds),
            lambda: self.replace(vm, seconds),
            self.transfer,
            self.crash_all if self.rng.randrange(3) == 0 else self.transfer,
        )
        self.rng.choice(losses)()

    def check_recovery(self) -> None:
        """Wait until all VMs are back; nothing acknowledged may be missing."""
        self.run(10, lambda: not self.absent_until)
        self.run(_RECOVERY_S, self._has_leader)
        assert self._has_leader(), f'no leader\n{self._describe()}'
        leader = self.group.leader
        assert leader is not None
        missing = set(self.changes.acknowledged).difference(leader.applied)
        assert not missing, f'lost {missing}\n{self._describe()}'

    def _note(self, event: str) -> None:
        self._log.append(f'{self.group.now:.2f} {event}')

    def _describe(self) -> str:
        return '\n'.join((*self._log[-_LOG_LINES:], self.group.describe()))

    def _has_leader(self) -> bool:
        leader = self.group.leader
        if leader is None or leader.live.leadership is None:
            return False
        return leader.live.leadership.is_established

    def _is_formed(self) -> bool:
        leader = self.group.leader
        if leader is None or leader.live.leadership is None:
            return False
        return not leader.live.leadership.is_short_of_voters(self.group.now)

    def _end_absences(self) -> None:
        now = self.group.now
        back = [vm for vm, until in self.absent_until.items() if now >= until]
        for vm in back:
            self.absent_until.pop(vm)
            self.group.cuts = {
                pair for pair in self.group.cuts if vm not in pair
            }
            node = self.group.nodes[vm]
            if vm in self._frozen:
                self._thaw(node)
            elif node.replica is None:
                self.group.start(vm)

    def _thaw(self, node: Node) -> None:
        node.replica = self._frozen.pop(node.vm)
        if node.disk.unsynced:
            self.group.sync_later(node, node.disk.unsynced[-1].number)

    def _count_lost_disks(self) -> None:
        lost = self.absent_until.keys() | self.lost_disks.keys()
        is_beyond = len(lost) > self.tolerance
        counted = {
            vm: 0 if is_beyond or vm in self.absent_until else held_s + _STEP_S
            for vm, held_s in self.lost_disks.items()
        }
        self.lost_disks = {
            vm: held_s for vm, held_s in counted.items() if held_s < _CATCH_UP_S
        }

    def _log_members(self) -> None:
        leader = self.group.leader
        if leader is None:
            return
        members = ' '.join(
            one.replica if one.is_voter else f'({one.replica})'
            for one in leader.live.configuration.members
        )
        line = f'{leader.vm} leads {members}'
        if line != self._last_members:
            self._last_members = line
            self._note(line)


def play(seed: int, tolerance: int, spares: int, faults: int) -> LossScenario:
    """Form a group, inject faults, and check that it recovers each time.

    After some faults all VMs stop at once, right after an acknowledgement.
    """
    scenario = LossScenario(seed, tolerance, spares)
    rng = scenario.rng
    scenario.form()
    for number in range(1, faults + 1):
        for _ in range(rng.randrange(3)):
            scenario.changes.propose()
            scenario.run(rng.choice([0.01, 0.05, 0.3]))
        scenario.disturb()
        scenario.run(rng.choice([0.02, 0.1, 0.5, 2.0, 7.0]) * rng.random())
        if number % _FAULTS_PER_END == 0:
            scenario.acknowledge()
            scenario.crash_all()
            scenario.check_recovery()
    return scenario
