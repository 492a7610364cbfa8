"""The part of a process that every VM has: transport, view and link.

A VM with control has a replica besides. The context starts all of it and
stops it in reverse; callers and operators are served by others, through
`link` and `node`.
"""

import asyncio
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Final, Self, final

from persimmonhold.control.machine import ControlMachine
from persimmonhold.control.shell._control_applier import ControlApplier
from persimmonhold.control.shell._control_client import ControlClient
from persimmonhold.control.shell._control_metrics import ControlMetrics
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._leader_duties import LeaderDuties
from persimmonhold.control.shell._open_replica import open_replica
from persimmonhold.control.shell._proposal_server import ProposalServer
from persimmonhold.control.shell._remote_control_link import RemoteControlLink
from persimmonhold.control.shell._vm_shell import VmShell
from persimmonhold.messages import VmRecord
from persimmonhold.observability import LogLevel, Metrics, log_event
from persimmonhold.placement import check_fit
from persimmonhold.settings import Settings
from persimmonhold.transport import NngTransport

_METRICS_INTERVAL_S: Final = 1.0


@final
class VmControl:
    """Owns the transport, the shell, the link and the replica of a VM.

    `node` is None on a VM without control, and `link` is the same on both.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
    ) -> None:
        """Create what `settings` describe; entering starts it."""
        self.transport = NngTransport(
            settings.vm.name,
            settings.peers,
            settings.tls,
        )
        self._settings = settings
        self._metrics = metrics
        self._stack = AsyncExitStack()
        self._vm: VmShell | None = None
        self._link: RemoteControlLink | None = None
        self.node: ControlNode | None = None

    async def __aenter__(self) -> Self:
        """Start; raises `OSError` where an address or folder is bad."""
        async with AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop everything."""
        await self._stack.aclose()

    @property
    def vm(self) -> VmShell:
        """The shell, once started."""
        assert self._vm is not None
        return self._vm

    @property
    def link(self) -> RemoteControlLink:
        """The link for the entry, once started."""
        assert self._link is not None
        return self._link

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        await stack.enter_async_context(self.transport)
        control = settings.peers.control_addresses
        record = _vm_record(settings, self.transport.address)
        vm = VmShell(record, control, self.transport)
        self._vm = vm
        client = ControlClient(vm, self.transport)
        if settings.vm.has_control:
            self.node = await self._start_replica(stack, vm)
            self._run(stack, 'leader duties', LeaderDuties(self.node, vm).run())
        server = ProposalServer(client, self.transport, self.node)
        stack.push_async_callback(server.close)
        self._link = RemoteControlLink(vm, client, self.node)
        self._run(stack, 'heartbeats', vm.run())
        self._run(stack, 'registration', self._link.run())
        self._run(stack, 'control metrics', self._count())

    async def _start_replica(
        self,
        stack: AsyncExitStack,
        vm: VmShell,
    ) -> ControlNode:
        applier = ControlApplier(ControlMachine(check_fit))
        log = open_replica(self._settings, applier, self.transport)
        await stack.enter_async_context(log)
        return ControlNode(applier, log, vm)

    def _run(
        self,
        stack: AsyncExitStack,
        name: str,
        work: Coroutine[Any, Any, None],
    ) -> None:
        task = asyncio.get_running_loop().create_task(work, name=name)
        task.add_done_callback(_log_end)
        stack.push_async_callback(_cancel, task)

    async def _count(self) -> None:
        counted = ControlMetrics(self._metrics)
        while True:
            counted.update(self.vm.agent, self.transport.counts)
            await asyncio.sleep(_METRICS_INTERVAL_S)


def _vm_record(settings: Settings, peers: str) -> VmRecord:
    has_entry = settings.vm.has_entry
    has_control = settings.vm.has_control
    return VmRecord(
        name=settings.vm.name,
        failure_domain=settings.vm.failure_domain,
        callers=settings.callers.address if has_entry else '',
        operators=settings.operators.address if has_control else '',
        peers=peers,
        weight=settings.callers.weight,
    )


def _log_end(task: asyncio.Task[None]) -> None:
    """Tell of a task that ended by an error; none is expected to."""
    if not task.cancelled() and task.exception() is not None:
        log_event(
            'task_failed',
            LogLevel.error,
            task=task.get_name(),
            error=repr(task.exception()),
        )


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
