"""A system of VMs within one process, without sockets."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, TypeAlias, final

from bench.memory_network import MemoryNetwork
from bench.shared_log import LogGroup, SharedLog
from persimmonhold.catalogue import ModelEntry
from persimmonhold.control.machine import (
    CommandResult,
    ControlStateMachine,
    PutEntry,
)
from persimmonhold.control.shell import (
    ControlApplier,
    ControlClient,
    ControlNode,
    LeaderDuties,
    ProposalServer,
    RemoteControlLink,
    VmAgentRunner,
)
from persimmonhold.membership import MembershipTimings
from persimmonhold.messages import VmRecord
from persimmonhold.replication import (
    LogApplier,
    ReplicaNode,
    ReplicaSettings,
)
from persimmonhold.transport import Transport

MemoryLog: TypeAlias = SharedLog | ReplicaNode
LogFactory: TypeAlias = Callable[[str, LogApplier, Transport], MemoryLog]
_POLL_S: Final = 0.005
_WAIT_TIMEOUT_S: Final = 60.0


@final
class MemoryVm:
    """One VM: its agent, its control link and, with control, its replica."""

    def __init__(
        self,
        name: str,
        control_addresses: dict[str, str],
        transport: Transport,
        create_log: LogFactory,
        address: str = '',
        timings: MembershipTimings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create a VM; one that `control_addresses` names has a replica.

        `control_addresses` holds peer addresses by VM name and `address` is
        that of this VM. Both may be empty on an in-process network.
        """
        has_control = name in control_addresses
        record = VmRecord(
            name=name,
            failure_domain='local',
            callers='127.0.0.1:1',
            operators='127.0.0.1:2' if has_control else '',
            peers=address,
        )
        clock = asyncio.get_running_loop().time
        self.vm = VmAgentRunner(
            record, control_addresses, transport, timings, clock, rng
        )
        self.client = ControlClient(self.vm, transport)
        self.node: ControlNode | None = None
        self.log: MemoryLog | None = None
        if has_control:
            applier = ControlApplier(ControlStateMachine())
            self.log = create_log(name, applier, transport)
            self.node = ControlNode(applier, self.log, self.vm)
        self.server = ProposalServer(self.client, transport, self.node)
        self.link = RemoteControlLink(self.vm, self.client, self.node)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the log and the tasks of this VM."""
        coroutines: list[Coroutine[Any, Any, None]] = [
            self.vm.run(),
            self.link.run(),
        ]
        if self.log is not None and self.node is not None:
            await self.log.__aenter__()
            coroutines.append(LeaderDuties(self.node, self.vm).run())
        self._tasks = [asyncio.create_task(task) for task in coroutines]

    async def stop(self) -> None:
        """Cancel the tasks and close the log.

        Raises the error of a task that had failed before.
        """
        for task in self._tasks:
            task.cancel()
        outcomes = await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        if self.log is not None:
            await self.log.__aexit__(None, None, None)
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome


@final
class MemorySystem:
    """VMs by name, of which the first ones have control."""

    def __init__(
        self,
        vm_count: int,
        control_count: int,
        seed: int,
        directory: Path | None = None,
        timings: MembershipTimings | None = None,
        seed_count: int = 0,
    ) -> None:
        """Create a system that is not started.

        With a directory the control log is replicated by consensus, which
        elects the leader. Without one it is a shared log led by the first
        VM. The group begins with `seed_count` voters; 0 means all.
        """
        self.names = tuple(f'vm{number}' for number in range(1, vm_count + 1))
        self.control_names = self.names[:control_count]
        self.seeds = self.control_names[: seed_count or control_count]
        self.network = MemoryNetwork(seed)
        self.group = LogGroup(self.network)
        self.vms: dict[str, MemoryVm] = {}
        self._timings = timings
        self._change_count = 0
        self._directory = directory
        self._random = random.Random(seed)
        self._agent_random = random.Random(f'agents {seed}')

    async def __aenter__(self) -> Self:
        """Start every VM and wait until all of them can serve."""
        self.group.leader = self.control_names[0]
        for name in self.names:
            await self.start(name)
        await wait_until(lambda: self.serving_vms() == set(self.names))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop every VM."""
        for vm in self.vms.values():
            await vm.stop()

    @property
    def leader(self) -> ControlNode:
        """The control node of the leader; fails if there is none."""
        return next(
            vm.node
            for name, vm in self.vms.items()
            if vm.node
            and vm.node.is_leader
            and name not in self.network.down_vms
        )

    @property
    def has_leader(self) -> bool:
        """Whether a control node leads."""
        return any(
            vm.node is not None and vm.node.is_leader
            for name, vm in self.vms.items()
            if name not in self.network.down_vms
        )

    async def wait_for_leader(self) -> ControlNode:
        """Wait until a control node leads; return it."""
        await wait_until(lambda: self.has_leader)
        return self.leader

    async def start(self, name: str) -> None:
        """Create and start a VM."""
        transport = self.network.create_transport(name)
        control = dict.fromkeys(self.control_names, '')
        vm = MemoryVm(
            name,
            control,
            transport,
            self._create_log,
            timings=self._timings,
            rng=random.Random(self._agent_random.random()),
        )
        self.vms[name] = vm
        await vm.start()

    async def kill(self, name: str) -> None:
        """Cut a VM off from the network and stop it."""
        self.network.down_vms.add(name)
        await self.vms[name].stop()

    async def restart(self, name: str) -> None:
        """Start a VM again; one that still runs is stopped first."""
        await self.vms[name].stop()
        self.network.down_vms.discard(name)
        await self.start(name)

    def serving_vms(self) -> set[str]:
        """Return the running VMs that may serve callers."""
        return {
            name
            for name, vm in self.vms.items()
            if name not in self.network.down_vms and vm.link.can_serve
        }

    def build_next_change(self) -> PutEntry:
        """Return a catalogue change that is unlike all earlier ones."""
        self._change_count += 1
        return build_change(self.leader, self._change_count)

    async def commit_change(self) -> CommandResult:
        """Commit a new change and return its result."""
        changed = await self.leader.commit_change(self.build_next_change())
        return changed.unwrap()

    async def wait_for_index(self, index: int) -> None:
        """Wait until every running VM holds the view at `index`."""
        await wait_until(lambda: not self.lagging_vms(index))

    def lagging_vms(self, index: int) -> set[str]:
        """Return the running VMs whose view is older than `index`."""
        return {
            name
            for name, vm in self.vms.items()
            if vm.link.view.index < index and name not in self.network.down_vms
        }

    def _create_log(
        self,
        name: str,
        applier: LogApplier,
        transport: Transport,
    ) -> 'MemoryLog':
        if self._directory is None:
            return self.group.create_replica(name, applier)
        return ReplicaNode(
            ReplicaSettings(
                name=name,
                address='',
                initial_members=dict.fromkeys(self.seeds, ''),
                voter_count=len(self.control_names),
            ),
            self._directory / name,
            transport,
            applier,
            random.Random(self._random.random()),
            asyncio.get_running_loop().time,
        )


def build_change(node: ControlNode, number: int) -> PutEntry:
    """Return a change whose content and command id depend on `number`."""
    name = f'model-{number % 100}'
    entry = ModelEntry(
        name=name,
        owner='bench',
        version=str(number),
        weight_bytes=1_000_000_000,
        kv_floor_bytes=1_000_000_000,
    )
    return PutEntry(
        operator='bench',
        command_id=str(number),
        at_ms=1,
        expected_revision=node.state.catalogue.entry_revision(name),
        entry=entry,
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds; raises `TimeoutError` after 60 s."""
    async with asyncio.timeout(_WAIT_TIMEOUT_S):
        for _ in itertools.count():
            if condition():
                return
            await asyncio.sleep(_POLL_S)
