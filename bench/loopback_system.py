"""Nine VMs in one process over pynng on loopback, with consensus."""

import asyncio
import random
import statistics
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final, Self, final

import msgspec

from bench.memory_system import MemoryVm, build_change, wait_until
from persimmonhold.control.shell import ControlNode
from persimmonhold.replication import (
    LogApplier,
    ReplicaNode,
    ReplicaSettings,
)
from persimmonhold.settings import PeerSettings, TlsSettings
from persimmonhold.transport import NngTransport, Transport

_VM_COUNT: Final = 9
_CONTROL_COUNT: Final = 5
_IDLE_S: Final = 10.0
_CHANGES: Final = 100
_FAILOVERS: Final = 5
_SETTLE_S: Final = 2.0
_KILO: Final = 1000
_BYTES_PER_KIB: Final = 1024


@final
class LoopbackResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the whole process, or of one VM where the name says so.

    A change is in force once every running VM holds it. The `rest` figures
    are those of an idle system.
    """

    vms: int
    in_force_ms_median: float
    in_force_ms_max: float
    in_force_failover_ms_max: float
    rest_cpu_percent_per_vm: float
    rest_bytes_per_s_entry: float
    rest_bytes_per_s_leader: float
    native_threads: int
    resident_mb: float


@final
class LoopbackSystem:
    """VMs by name, of which the first five have control."""

    def __init__(self, directory: Path, seed: int) -> None:
        """Create a system that keeps its files under `directory`."""
        self.names = tuple(f'vm{number}' for number in range(1, _VM_COUNT + 1))
        self.vms: dict[str, MemoryVm] = {}
        self.transports: dict[str, NngTransport] = {}
        self._directory = directory
        self._random = random.Random(seed)
        self._exit_stacks = {name: AsyncExitStack() for name in self.names}
        self._addresses: dict[str, str] = {}

    async def __aenter__(self) -> Self:
        """Start every VM and wait until all of them can serve."""
        for name in self.names:
            await self._listen(name, '127.0.0.1:0')
        self._addresses = {
            listening.name: listening.address
            for listening in self.transports.values()
        }
        for name in self.names:
            await self._start(name)
        await wait_until(self.is_every_vm_serving)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop every VM."""
        for name in tuple(self.vms):
            await self.kill(name)

    @property
    def leader(self) -> ControlNode:
        """The control node of the leader; fails if there is none."""
        return next(
            vm.node for vm in self.vms.values() if vm.node and vm.node.is_leader
        )

    def has_leader(self) -> bool:
        """Return whether a control node leads."""
        return any(vm.node and vm.node.is_leader for vm in self.vms.values())

    def is_every_vm_serving(self) -> bool:
        """Return whether every running VM may serve callers."""
        return all(vm.link.can_serve for vm in self.vms.values())

    def has_every_vm_view(self, index: int) -> bool:
        """Return whether every running VM holds the view at `index`."""
        return all(vm.link.view.index >= index for vm in self.vms.values())

    async def kill(self, name: str) -> None:
        """Stop a VM and close its transport."""
        await self.vms.pop(name).stop()
        await self._exit_stacks[name].aclose()

    async def restart(self, name: str) -> None:
        """Start a killed VM at its former address; wait until all serve."""
        await self._listen(name, self._addresses[name])
        await self._start(name)
        await wait_until(self.is_every_vm_serving)

    async def _listen(self, name: str, address: str) -> None:
        peers = PeerSettings(address=address)
        transport = NngTransport(name, peers, TlsSettings())
        await self._exit_stacks[name].enter_async_context(transport)
        self.transports[name] = transport

    async def _start(self, name: str) -> None:
        vm = MemoryVm(
            name,
            {
                other: self._addresses[other]
                for other in self.names[:_CONTROL_COUNT]
            },
            self.transports[name],
            self._create_log,
            self._addresses[name],
        )
        self.vms[name] = vm
        await vm.start()

    def _create_log(
        self,
        name: str,
        applier: LogApplier,
        transport: Transport,
    ) -> ReplicaNode:
        control = self.names[:_CONTROL_COUNT]
        return ReplicaNode(
            ReplicaSettings(
                name=name,
                address=self._addresses[name],
                initial_members={
                    other: self._addresses[other] for other in control
                },
            ),
            self._directory / name,
            transport,
            applier,
            random.Random(self._random.random()),
            time.monotonic,
        )


async def measure_loopback(directory: Path, seed: int) -> LoopbackResult:
    """Run the system and measure it idle, under changes and in failovers."""
    async with LoopbackSystem(directory, seed) as system:
        await asyncio.sleep(_SETTLE_S)
        sent_before = _sent_bytes(system)
        cpu_s = time.process_time()
        await asyncio.sleep(_IDLE_S)
        cpu_s = time.process_time() - cpu_s
        idle_sent_bytes = {
            name: after - sent_before[name]
            for name, after in _sent_bytes(system).items()
        }
        leader = system.leader.log.status().vm
        change_times_s = [
            await _time_change(system, number) for number in range(_CHANGES)
        ]
        threads, resident_mb = _read_process_status()
        failover_times_s = [
            await _time_failover(system, _CHANGES + number)
            for number in range(_FAILOVERS)
        ]
        return LoopbackResult(
            vms=_VM_COUNT,
            in_force_ms_median=statistics.median(change_times_s) * _KILO,
            in_force_ms_max=max(change_times_s) * _KILO,
            in_force_failover_ms_max=max(failover_times_s) * _KILO,
            rest_cpu_percent_per_vm=cpu_s / _IDLE_S / _VM_COUNT * 100,
            rest_bytes_per_s_entry=idle_sent_bytes[system.names[-1]] / _IDLE_S,
            rest_bytes_per_s_leader=idle_sent_bytes[leader] / _IDLE_S,
            native_threads=threads,
            resident_mb=resident_mb,
        )


async def _time_change(system: LoopbackSystem, number: int) -> float:
    started_at = time.monotonic()
    node = system.leader
    change = (await node.commit_change(build_change(node, number))).unwrap()
    await wait_until(lambda: system.has_every_vm_view(change.index))
    return time.monotonic() - started_at


async def _time_failover(system: LoopbackSystem, number: int) -> float:
    """Return the time of a change whose leader is killed during it.

    The change is sent again to the next leader.
    """
    started_at = time.monotonic()
    command = build_change(system.leader, number)
    killed_leader = system.leader.log.status().vm
    change = asyncio.create_task(system.leader.commit_change(command))
    await asyncio.sleep(0)
    await system.kill(killed_leader)
    change.cancel()
    await wait_until(system.has_leader)
    repeated = (await system.leader.commit_change(command)).unwrap()
    await wait_until(lambda: system.has_every_vm_view(repeated.index))
    elapsed_s = time.monotonic() - started_at
    await system.restart(killed_leader)
    await asyncio.sleep(_SETTLE_S)
    return elapsed_s


def _sent_bytes(system: LoopbackSystem) -> dict[str, int]:
    return {
        name: transport.traffic_counters.sent_bytes
        for name, transport in system.transports.items()
    }


def _read_process_status() -> tuple[int, float]:
    """Return the number of threads and the resident MB of this process."""
    text = Path('/proc/self/status').read_text(encoding='ascii')
    fields = dict(line.split(':', 1) for line in text.splitlines())
    resident_bytes = int(fields['VmRSS'].split()[0]) * _BYTES_PER_KIB
    return int(fields['Threads']), resident_bytes / _KILO / _KILO
