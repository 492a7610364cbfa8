"""A whole system of VMs within one process, without sockets."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Final, Self, final

from bench.memory_network import MemoryNetwork
from bench.shared_log import LogGroup
from persimmonhold.catalogue import ModelEntry
from persimmonhold.control.machine import (
    CommandResult,
    ControlMachine,
    PutEntry,
)
from persimmonhold.control.shell import (
    ControlApplier,
    ControlClient,
    ControlNode,
    LeaderDuties,
    ProposalServer,
    RemoteControlLink,
    VmShell,
)
from persimmonhold.messages import VmRecord
from persimmonhold.transport import Transport

_POLL_S: Final = 0.005


@final
class MemoryVm:
    """One VM: its shell, its link and, with control, its replica."""

    def __init__(
        self,
        name: str,
        control: tuple[str, ...],
        transport: Transport,
        group: LogGroup,
    ) -> None:
        """Create a VM; one that is named in `control` has a replica."""
        has_control = name in control
        record = VmRecord(
            name=name,
            failure_domain='local',
            callers='127.0.0.1:1',
            operators='127.0.0.1:2' if has_control else '',
        )
        addresses = dict.fromkeys(control, '')
        clock = asyncio.get_running_loop().time
        self.vm = VmShell(record, addresses, transport, clock=clock)
        self.client = ControlClient(self.vm, transport)
        self.node: ControlNode | None = None
        work: list[Coroutine[Any, Any, None]] = [self.vm.run()]
        if has_control:
            applier = ControlApplier(ControlMachine())
            log = group.replica(name, applier)
            self.node = ControlNode(applier, log, self.vm)
            duties = LeaderDuties(self.node, self.vm)
            work.extend((log.follow(), duties.run()))
        self.server = ProposalServer(self.client, transport, self.node)
        self.link = RemoteControlLink(self.vm, self.client, self.node)
        work.append(self.link.run())
        self._tasks = [asyncio.create_task(task) for task in work]

    async def stop(self) -> None:
        """Stop everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()


@final
class MemorySystem:
    """VMs by name; the first ones have control, and the first one leads."""

    def __init__(self, count: int, control: int, seed: int) -> None:
        """Create a system that is not started."""
        self.names = tuple(f'vm{number}' for number in range(1, count + 1))
        self.control = self.names[:control]
        self.network = MemoryNetwork(seed)
        self.group = LogGroup(self.network)
        self.vms: dict[str, MemoryVm] = {}
        self._commands = 0

    async def __aenter__(self) -> Self:
        """Start every VM and wait until all of them serve."""
        for name in self.names:
            self.start(name)
        self.group.leader = self.control[0]
        await _until(lambda: self.serving() == set(self.names))
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
        """The node of the leader."""
        node = self.vms[self.group.leader].node
        assert node is not None
        return node

    def start(self, name: str) -> None:
        """Start a VM."""
        transport = self.network.transport(name)
        self.vms[name] = MemoryVm(name, self.control, transport, self.group)

    async def kill(self, name: str) -> None:
        """Let a VM vanish."""
        self.network.down.add(name)
        await self.vms[name].stop()

    async def restart(self, name: str) -> None:
        """Start a VM anew that was killed or runs."""
        await self.vms[name].stop()
        self.network.down.discard(name)
        self.start(name)

    def serving(self) -> set[str]:
        """Return the VMs that may serve callers."""
        return {
            name
            for name, vm in self.vms.items()
            if name not in self.network.down and vm.link.serving_allowed
        }

    def next_change(self) -> PutEntry:
        """Return a change of the catalogue that no other one equals."""
        self._commands += 1
        name = f'model-{self._commands % 100}'
        catalogue = self.leader.state.catalogue
        entry = ModelEntry(
            name=name,
            owner='bench',
            version=str(self._commands),
            weight_bytes=1_000_000_000,
            kv_floor_bytes=1_000_000_000,
        )
        return PutEntry(
            operator='bench',
            command_id=str(self._commands),
            at_ms=1,
            expected_revision=catalogue.entry_revision(name),
            entry=entry,
        )

    async def change(self) -> CommandResult:
        """Have a change accepted."""
        changed = await self.leader.change(self.next_change())
        return changed.unwrap()

    async def await_index(self, index: int) -> None:
        """Wait until each VM that is up holds a view."""
        await _until(lambda: not self.behind(index))

    def behind(self, index: int) -> set[str]:
        """Return the VMs that are up and lack a view."""
        return {
            name
            for name, vm in self.vms.items()
            if vm.link.view.index < index and name not in self.network.down
        }


async def _until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    for _ in itertools.count():
        if condition():
            return
        await asyncio.sleep(_POLL_S)
