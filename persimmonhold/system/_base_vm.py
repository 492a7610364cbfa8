"""One VM of the system in the roles that its settings name.

Order of the start: transport, control, link to control, entry. A planned
stop goes the other way: the entry leaves the directory and finishes what
runs, leadership is handed over, then the process exits. Kinds of VMs differ
in what their entry serves and in what the leader of control does.
"""

import abc
import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

from persimmonhold.control.shell import (
    ControlClient,
    ControlMetrics,
    ProposalServer,
    RemoteControlLink,
    VmAgentRunner,
)
from persimmonhold.observability import Metrics, log_event
from persimmonhold.settings import Settings
from persimmonhold.system._boot_clock import boot_time
from persimmonhold.system._control_side import ControlSide
from persimmonhold.system._control_work import ControlWork
from persimmonhold.system._metrics_handler import MetricsHandler
from persimmonhold.system._vm_record import vm_record
from persimmonhold.tasks import BackgroundTasks
from persimmonhold.transport import NngTransport
from persimmonhold.web import HttpBounds, HttpServer, parse_address

_COUNT_INTERVAL_S: Final = 1.0


class BaseVm(abc.ABC):
    """Owns everything that one VM runs.

    Entering the context raises `OSError` where an address, a folder or a
    certificate cannot be had. `drain_entry` is the planned stop of an entry
    that runs.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the VM of checked settings."""
        self.settings = settings
        self.stack = AsyncExitStack()
        self.background = BackgroundTasks()
        self.metrics = Metrics()
        self.transport = NngTransport(
            settings.vm.name,
            settings.peers,
            settings.tls,
        )
        self.vm = VmAgentRunner(
            vm_record(settings),
            settings.peers.control_addresses,
            self.transport,
            clock=boot_time,
        )
        self.control: ControlSide | None = None
        self.link: RemoteControlLink | None = None
        self.drain_entry: Callable[[], Awaitable[None]] | None = None

    async def __aenter__(self) -> Self:
        """Start the roles."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.transport)
            await stack.enter_async_context(self.background)
            await self._show_metrics(stack)
            await self._start(stack)
            self.stack = stack.pop_all()
        log_event(
            'started',
            vm=self.settings.vm.name,
            roles=self.settings.vm.roles,
            incarnation=self.vm.record.incarnation,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once; what runs is cut off unless `drain` came first."""
        await self.stack.aclose()
        log_event('stopped', vm=self.settings.vm.name)

    async def drain(self) -> None:
        """Stop as planned: cut off no request, keep control led."""
        if self.drain_entry is not None:
            await self.drain_entry()
        if self.control is not None:
            await self.control.drain()

    @abc.abstractmethod
    def create_work(self) -> ControlWork:
        """Return what the leader of control does besides its state."""

    @abc.abstractmethod
    async def start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        """Start the entry; it is left with the stack."""

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self.settings
        if settings.vm.has_control:
            self.control = ControlSide(
                settings,
                self.vm,
                self.transport,
                self.create_work(),
                self.background,
            )
            await stack.enter_async_context(self.control)
        node = self.control.node if self.control else None
        client = ControlClient(self.vm, self.transport)
        proposals = ProposalServer(client, self.transport, node)
        stack.push_async_callback(proposals.close)
        link = RemoteControlLink(self.vm, client, node)
        self.link = link
        self.background.start(self.vm.run(), 'membership')
        self.background.start(link.run(), 'registration')
        self.background.start(self._count(), 'control metrics')
        if settings.vm.has_entry:
            await self.start_entry(stack, link)

    async def _show_metrics(self, stack: AsyncExitStack) -> None:
        address = self.settings.metrics.address
        if address:
            server = HttpServer(
                parse_address(address).unwrap(),
                MetricsHandler(self.metrics),
                HttpBounds(),
            )
            await stack.enter_async_context(server)

    async def _count(self) -> None:
        """Keep the metrics equal to the counts of agent and transport."""
        counted = ControlMetrics(self.metrics)
        while True:
            counted.update(self.vm.agent, self.transport.counts)
            await asyncio.sleep(_COUNT_INTERVAL_S)


async def until_set(failed: asyncio.Event) -> None:
    """End, and with that report a failure, once `failed` is set."""
    await failed.wait()
