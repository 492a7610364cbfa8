"""Replicas whose disks fill up or fail, at any step, on some or all VMs."""

import asyncio
import contextlib
import random

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from persimmonhold.replication import LogBounds
from tests._replica_cluster import Cluster, FakeVm, running
from tests._replication_fakes import LatestPayloadApplier, run_virtual

_KB = 1000
_CHANGE_BYTES = 20 * _KB
_DISK_MB = 2
_BOUNDS = LogBounds.for_resources(_DISK_MB, memory_mb=1000)
_DISK_BYTES = _DISK_MB * 1000 * _KB
_ROUNDS = 8
_RESTART_S = 0.5


class FaultyCluster:
    """A group that is changed all the time while its disks have faults.

    Changes are numbered. `accepted` is the last that was acknowledged; a
    process that ends by a disk failure is started again until it runs.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.proposed = 0
        self.accepted = 0

    async def change(self) -> None:
        """Propose changes until cancelled."""
        while True:
            self.proposed += 1
            noise = self.rng.randbytes(_CHANGE_BYTES)
            payload = b'%09d%s' % (self.proposed, noise)
            leaders = [
                node for node in self.cluster.nodes.values() if node.is_leader
            ]
            if leaders and isinstance(
                await leaders[0].propose(payload), Success
            ):
                self.accepted = self.proposed
            await asyncio.sleep(0.03)

    async def have_faults(self) -> None:
        """Have disks fill up or fail, one round after the other."""
        for _ in range(_ROUNDS):
            count = self.rng.choice((1, 1, 2, 3))
            chosen = self.rng.sample(self.cluster.vms, count)
            fault = self.rng.choice((self._fill_disk, self._cut_power))
            await asyncio.gather(*(fault(vm) for vm in chosen))
            await asyncio.sleep(self.rng.uniform(0, 3))

    async def _fill_disk(self, vm: FakeVm) -> None:
        """Leave little room on a disk for a while, which it fills."""
        room = self.rng.randrange(2 * _BOUNDS.bytes_per_snapshot)
        vm.disk.capacity_bytes = vm.disk.used_bytes + room
        until = self.rng.uniform(0.5, 6)
        while until > 0:
            await asyncio.sleep(_RESTART_S)
            until -= _RESTART_S
            await self._restart_failed(vm)
        vm.disk.capacity_bytes = _DISK_BYTES
        await self._restart_failed(vm)

    async def _cut_power(self, vm: FakeVm) -> None:
        """Have the machine crash at one of its next disk operations."""
        vm.disk.fail_at_step = vm.disk.steps + self.rng.randrange(200)
        for _ in range(8):
            await asyncio.sleep(_RESTART_S)
            if self._has_failed(vm):
                break
        await self.cluster.stop(vm.name)
        vm.disk = vm.disk.after_crash(self.rng)
        vm.disk.capacity_bytes = _DISK_BYTES
        await self.cluster.start(vm)

    def _has_failed(self, vm: FakeVm) -> bool:
        node = self.cluster.nodes.get(vm.name)
        return node is None or node.failure is not None

    async def _restart_failed(self, vm: FakeVm) -> None:
        """Start a process again that has ended by a disk failure."""
        if not self._has_failed(vm):
            return
        if vm.name in self.cluster.nodes:
            await self.cluster.stop(vm.name)
        with contextlib.suppress(OSError):
            await self.cluster.start(vm)


def _prepare(vm: FakeVm) -> None:
    vm.create_applier = LatestPayloadApplier
    vm.bounds = _BOUNDS
    vm.snapshot_entries = 8192
    vm.part_bytes = 8 * _KB
    vm.disk.capacity_bytes = _DISK_BYTES


@pytest.mark.parametrize('seed', range(4))
def test_acknowledged_changes_survive_full_and_failing_disks(seed: int) -> None:
    async def scenario() -> None:
        async with running(3, prepare=_prepare) as cluster:
            faulty = FaultyCluster(cluster, seed)
            changes = asyncio.create_task(faulty.change())
            await faulty.have_faults()
            await asyncio.sleep(10)
            before = faulty.accepted
            await asyncio.sleep(5)
            changes.cancel()
            # Changes are accepted again.
            assert_that(faulty.accepted, GreaterThan(before))
            await (await cluster.leader()).read_barrier()
            await asyncio.sleep(2)
            for vm in cluster.vms:
                assert_that(cluster.nodes[vm.name].failure, Equals(None))
                latest = int(vm.applier.payloads[-1][:9])
                assert_that(latest, GreaterThan(faulty.accepted - 1))
                assert_that(vm.disk.used_bytes, LessThan(_DISK_BYTES / 2))

    run_virtual(scenario())
