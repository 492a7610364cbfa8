"""A group of replica nodes in virtual time, for tests."""

import asyncio
import random
from collections.abc import AsyncGenerator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import msgspec
from returns.result import Success

from persimmonhold.consensus import Timings
from persimmonhold.replication import (
    LogBounds,
    ReplicaNode,
    ReplicaSettings,
)
from tests._replication_fakes import (
    FakeDisk,
    FakeNetwork,
    FakeTransport,
    RecordingApplier,
    loop_time,
)

_TIMINGS = Timings(replacement_timeout_s=3.0, verification_timeout_s=1.0)


class FakeVm:
    """A VM whose replica can be restarted on the same disk."""

    def __init__(self, name: str, network: FakeNetwork, size: int) -> None:
        self.name = name
        self.transport = FakeTransport(name, network)
        self.initial_members = {f'vm{one}': f'vm{one}' for one in range(size)}
        self.disk = FakeDisk()
        self.create_applier: Callable[[], RecordingApplier] = RecordingApplier
        self.snapshot_entries = 50
        self.part_bytes = 64
        self.bounds = LogBounds()
        self.starts = 0

    def create_node(self) -> ReplicaNode:
        self.applier = self.create_applier()
        self.starts += 1
        settings = ReplicaSettings(
            name=self.name,
            address=self.name,
            initial_members=self.initial_members,
            timings=msgspec.structs.replace(
                _TIMINGS, max_in_flight_bytes=self.bounds.in_flight_bytes
            ),
            entries_per_snapshot=self.snapshot_entries,
            snapshot_part_bytes=self.part_bytes,
            kept_entries=10,
            bounds=self.bounds,
        )
        return ReplicaNode(
            settings,
            Path('unused'),
            self.transport,
            self.applier,
            random.Random(f'{self.name} {self.starts}'),
            loop_time,
            self.disk,
        )


class Cluster:
    """The VMs of a group, and their nodes while they run."""

    def __init__(self, size: int, spares: int = 0, loss: float = 0.0) -> None:
        self.network = FakeNetwork(seed=1, loss=loss)
        self.vms = [
            FakeVm(f'vm{one}', self.network, size)
            for one in range(size + spares)
        ]
        self.nodes: dict[str, ReplicaNode] = {}
        self.stacks: dict[str, AsyncExitStack] = {}

    async def start(self, vm: FakeVm) -> None:
        stack = AsyncExitStack()
        self.nodes[vm.name] = await stack.enter_async_context(vm.create_node())
        self.stacks[vm.name] = stack

    async def stop(self, name: str) -> None:
        self.nodes.pop(name)
        await self.stacks.pop(name).aclose()

    async def leader(self) -> ReplicaNode:
        async with asyncio.timeout(60):
            while True:
                for node in self.nodes.values():
                    if node.is_leader:
                        return node
                await asyncio.sleep(0.05)

    def vm(self, name: str) -> FakeVm:
        return next(one for one in self.vms if one.name == name)


@asynccontextmanager
async def running(
    size: int,
    spares: int = 0,
    loss: float = 0.0,
    prepare: Callable[[FakeVm], None] | None = None,
) -> AsyncGenerator[Cluster, None]:
    """Start a group; `prepare` may change each VM before."""
    cluster = Cluster(size, spares, loss)
    if prepare is not None:
        for one in cluster.vms:
            prepare(one)
    for vm in cluster.vms:
        await cluster.start(vm)
    try:
        yield cluster
    finally:
        for name in tuple(cluster.nodes):
            await cluster.stop(name)


async def propose_all(cluster: Cluster, count: int) -> list[bytes]:
    """Propose payloads one after another; return the accepted ones."""
    accepted = []
    for number in range(count):
        leader = await cluster.leader()
        payload = b'%d' % number
        if isinstance(await leader.propose(payload), Success):
            accepted.append(payload)
    return accepted
