"""One VM of the system on a platform: an entry, control, or both.

The order of start and stop is that of `VmProcess`; what differs is what the
entry forwards, and what the leader of control does.
"""

import asyncio
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, final

from persimmonhold.control.shell import (
    ControlClient,
    ControlMetrics,
    ControlNode,
    ProposalServer,
    RemoteControlLink,
    VmShell,
)
from persimmonhold.forwarding import (
    FleetRunner,
    ForwardEntry,
    PlatformAdapter,
)
from persimmonhold.observability import Metrics, log_event
from persimmonhold.settings import Settings
from persimmonhold.system._background import Background
from persimmonhold.system._boot_clock import boot_time
from persimmonhold.system._control_side import ControlSide
from persimmonhold.system._control_work import ControlWork
from persimmonhold.system._metrics_handler import MetricsHandler
from persimmonhold.system._vm_record import vm_record
from persimmonhold.transport import NngTransport, Transport
from persimmonhold.web import (
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    parse_address,
)

_COUNT_INTERVAL_S: Final = 1.0


@final
class FleetWork(ControlWork):
    """Gives orders to the upstreams that the platform lists."""

    __slots__ = ('adapter', 'runner', 'transport')

    def __init__(self, adapter: PlatformAdapter, transport: Transport) -> None:
        """Create the work of a control VM on a platform."""
        self.adapter = adapter
        self.transport = transport
        self.runner: FleetRunner | None = None

    def begin(self, node: ControlNode) -> ExchangeHandler:
        """Create the runner and the handler of a replica."""
        self.runner = FleetRunner(
            node,
            self.transport,
            self.adapter.source,
            self.adapter.bounds.order_lease_s,
            boot_time,
        )
        return self.adapter.operator_handler(node)

    async def run(self) -> None:
        """Run the fleet until cancelled."""
        if self.runner is not None:
            await self.runner.run()


@final
class ForwardingVm:
    """Owns everything that one VM runs.

    Entering the context raises `OSError` where an address or a folder
    cannot be had.
    """

    __slots__ = (
        'adapter',
        'background',
        'control',
        'entry',
        'metrics',
        'settings',
        'stack',
        'transport',
        'vm',
    )

    def __init__(self, settings: Settings, adapter: PlatformAdapter) -> None:
        """Create the VM of checked settings."""
        self.settings = settings
        self.adapter = adapter
        self.stack = AsyncExitStack()
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
        self.entry: ForwardEntry | None = None

    async def __aenter__(self) -> Self:
        """Start the roles."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.transport)
            await stack.enter_async_context(self.background)
            stack.callback(self.adapter.source.close)
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
        if self.entry is not None:
            await self.entry.drain()
        if self.control is not None:
            await self.control.drain()

    async def _show_metrics(self, stack: AsyncExitStack) -> None:
        address = self.settings.metrics.address
        if address:
            server = HttpServer(
                parse_address(address).unwrap(),
                MetricsHandler(self.metrics),
                HttpBounds(),
            )
            await stack.enter_async_context(server)
            self.background.run(self._count(), 'control metrics')

    async def _count(self) -> None:
        """Keep the metrics equal to the counts of agent and transport."""
        counted = ControlMetrics(self.metrics)
        while True:
            counted.update(self.vm.agent, self.transport.counts)
            await asyncio.sleep(_COUNT_INTERVAL_S)

    async def _start(self, stack: AsyncExitStack) -> None:
        if self.settings.vm.has_control:
            self.control = ControlSide(
                self.settings,
                self.vm,
                self.transport,
                FleetWork(self.adapter, self.transport),
                self.background,
            )
            await stack.enter_async_context(self.control)
        node = self.control.node if self.control else None
        client = ControlClient(self.vm, self.transport)
        proposals = ProposalServer(client, self.transport, node)
        stack.push_async_callback(proposals.close)
        link = RemoteControlLink(self.vm, client, node)
        self.background.run(self.vm.run(), 'membership')
        self.background.run(link.run(), 'registration')
        if self.settings.vm.has_entry:
            await self._start_entry(stack, link)

    async def _start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        self.entry = ForwardEntry(
            self.settings,
            self.adapter,
            link,
            self.vm,
            self.transport,
            self.metrics,
            boot_time,
        )
        await stack.enter_async_context(self.entry)
        self.background.run(_until_set(self.entry.failed), 'entry')


async def _until_set(failed: asyncio.Event) -> None:
    """End, and with that report a failure, once `failed` is set."""
    await failed.wait()
