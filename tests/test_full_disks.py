"""Replicas whose disks are full for a while, one after another.

Guards against a group that accepts nothing after the last disk has room again.
"""

import asyncio
import errno
import random
from contextlib import suppress

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from persimmonhold.failures import StartError
from tests._replica_cluster import Cluster, FakeVm, running
from tests._replication_fakes import FakeDisk, run_virtual

_FULL_S = 3.0
_RESTART_S = 0.3  # after which the platform starts an ended process again
_SETTLED_S = 3.0


class LimitedDisk(FakeDisk):
    """Refuses writes while it is full; a part of one may have been written."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.is_full = False
        self.rng = rng

    def append(self, name: str, content: bytes) -> None:
        """Append as much as there is room for."""
        if self.is_full:
            kept = content[: self.rng.randint(0, len(content))]
            if kept:
                super().append(name, kept)
            raise OSError(errno.ENOSPC, 'no space left on device')
        super().append(name, content)


async def _keep_running(cluster: Cluster, vm: FakeVm) -> None:
    """Start the replica of a VM again whenever it has stopped."""
    while True:
        await asyncio.sleep(_RESTART_S)
        node = cluster.nodes.get(vm.name)
        if node is not None and node.failure is None:
            continue
        if node is not None:
            await cluster.stop(vm.name)
        with suppress(OSError, StartError):
            await cluster.start(vm)


async def _propose_until_stopped(
    cluster: Cluster, accepted: list[bytes], stopped: asyncio.Event
) -> None:
    """Propose payloads at any replica that leads."""
    number = 0
    while not stopped.is_set():
        await asyncio.sleep(0.05)
        leads = [one for one in cluster.nodes.values() if one.is_leader]
        for leader in leads[:1]:
            number += 1
            payload = b'%d' % number
            if isinstance(await leader.propose(payload), Success):
                accepted.append(payload)


def _choose_next(
    cluster: Cluster, seen: list[str], order: str, rng: random.Random
) -> str:
    """Return the VM whose disk is full next, each once in a round."""
    names = [vm.name for vm in cluster.vms if vm.name not in seen]
    leads = [
        name
        for name in names
        if name in cluster.nodes and cluster.nodes[name].is_leader
    ]
    others = [name for name in names if name not in leads]
    if order == 'leader first' and leads:
        return leads[0]
    if order == 'leader last' and others:
        return rng.choice(others)
    return rng.choice(names)


@pytest.mark.parametrize('order', ['leader first', 'leader last', 'any'])
@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('seed', range(4))
def test_group_accepts_after_disks_were_full_in_turn(
    order: str, size: int, seed: int
) -> None:
    rng = random.Random(seed)

    async def scenario() -> None:
        async with running(0) as cluster:
            cluster.vms = [
                FakeVm(f'vm{one}', cluster.network, size) for one in range(size)
            ]
            disks: dict[str, LimitedDisk] = {}
            for vm in cluster.vms:
                disks[vm.name] = LimitedDisk(rng)
                vm.disk = disks[vm.name]
                await cluster.start(vm)
            accepted: list[bytes] = []
            stopped = asyncio.Event()
            tasks = [
                asyncio.create_task(_keep_running(cluster, one))
                for one in cluster.vms
            ]
            proposals = asyncio.create_task(
                _propose_until_stopped(cluster, accepted, stopped)
            )
            await asyncio.sleep(2)
            for _ in range(2):
                seen: list[str] = []
                while len(seen) < size:
                    name = _choose_next(cluster, seen, order, rng)
                    seen.append(name)
                    disks[name].is_full = True
                    await asyncio.sleep(_FULL_S)
                    disks[name].is_full = False
                    await asyncio.sleep(rng.choice((0.1, 1.0)))
            await asyncio.sleep(_SETTLED_S)
            before = len(accepted)
            await asyncio.sleep(2)
            assert_that(before, LessThan(len(accepted) - 10))
            stopped.set()
            await proposals
            await asyncio.sleep(_SETTLED_S)
            for replica in cluster.vms:
                held = set(replica.applier.payloads)
                assert_that(set(accepted) - held, Equals(set()))
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(scenario())
