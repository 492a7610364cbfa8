"""One VM of the system in the roles that its settings name.

Order of the start: transport, control, link to control, entry. A planned
stop goes the other way: the entry leaves the directory and finishes what
runs, leadership is handed over, then the process exits.
"""

import asyncio
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, final

from persimmonhold.control.shell import (
    ControlClient,
    ControlMetrics,
    ProposalServer,
    RemoteControlLink,
    VmShell,
)
from persimmonhold.entry import Entry
from persimmonhold.observability import Metrics, log_event
from persimmonhold.settings import Settings
from persimmonhold.system._background import Background
from persimmonhold.system._boot_clock import boot_time
from persimmonhold.system._control_side import ControlSide
from persimmonhold.system._control_work import PlacementWork
from persimmonhold.system._vm_record import vm_record
from persimmonhold.transport import NngTransport

_COUNT_INTERVAL_S: Final = 1.0


@final
class VmProcess:
    """Owns everything that one VM runs.

    Entering the context raises `OSError` where an address, a folder or a
    certificate cannot be had.
    """

    __slots__ = (
        '_settings',
        '_stack',
        'background',
        'control',
        'entry',
        'link',
        'metrics',
        'transport',
        'vm',
    )

    def __init__(self, settings: Settings) -> None:
        """Create the VM of checked settings."""
        self._settings = settings
        self._stack = AsyncExitStack()
        self.background = Background()
        self.metrics = Metrics()
        self.transport = NngTransport(
            settings.vm.name,
            settings.peers,
            settings.tls,
        )
        self.vm = VmShell(
            vm_record(settings),
            settings.peers.control_addresses,
            self.transport,
            clock=boot_time,
        )
        self.control: ControlSide | None = None
        self.entry: Entry | None = None
        self.link: RemoteControlLink | None = None

    async def __aenter__(self) -> Self:
        """Start the roles."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.transport)
            await stack.enter_async_context(self.background)
            await self._start(stack)
            self._stack = stack.pop_all()
        log_event('started', vm=self._settings.vm.name)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once; what runs is cut off unless `drain` came first."""
        await self._stack.aclose()
        log_event('stopped', vm=self._settings.vm.name)

    async def drain(self) -> None:
        """Stop as planned: cut off no request, keep control led."""
        if self.entry is not None:
            await self.entry.drain()
        if self.control is not None:
            await self.control.drain()

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        if settings.vm.has_control:
            self.control = ControlSide(
                settings,
                self.vm,
                self.transport,
                PlacementWork(settings.placement, self.metrics),
                self.background,
            )
            await stack.enter_async_context(self.control)
        node = self.control.node if self.control else None
        client = ControlClient(self.vm, self.transport)
        proposals = ProposalServer(client, self.transport, node)
        stack.push_async_callback(proposals.close)
        self.link = RemoteControlLink(self.vm, client, node)
        self.background.run(self.vm.run(), 'membership')
        self.background.run(self.link.run(), 'registration')
        self.background.run(self._count(), 'control metrics')
        if settings.vm.has_entry:
            await self._start_entry(stack, self.link)

    async def _start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        settings = self._settings
        self.entry = Entry(
            settings.vm,
            settings.callers,
            settings.platform,
            link,
            self.metrics,
            incarnation=self.vm.record.incarnation,
        )
        await stack.enter_async_context(self.entry)
        self.background.run(_until_set(self.entry.failed), 'entry')

    async def _count(self) -> None:
        """Keep the metrics equal to the counts of agent and transport."""
        counted = ControlMetrics(self.metrics)
        while True:
            counted.update(self.vm.agent, self.transport.counts)
            await asyncio.sleep(_COUNT_INTERVAL_S)


async def _until_set(failed: asyncio.Event) -> None:
    """End, and with that report a failure, once `failed` is set."""
    await failed.wait()
