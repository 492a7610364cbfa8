"""One VM on a platform: it forwards opaque requests by their routes."""

from contextlib import AsyncExitStack
from types import TracebackType
from typing import final

from persimmonhold.control.shell import ControlNode, RemoteControlLink
from persimmonhold.forwarding import (
    FleetRunner,
    ForwardEntry,
    PlatformAdapter,
)
from persimmonhold.settings import Settings
from persimmonhold.system._base_vm import BaseVm, until_set
from persimmonhold.system._boot_clock import boot_time
from persimmonhold.system._control_work import ControlWork
from persimmonhold.transport import Transport
from persimmonhold.web import ExchangeHandler


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
            self.adapter.upstream_client,
            self.adapter.bounds.order_lease_s,
            boot_time,
        )
        return self.adapter.create_operator_handler(node)

    async def run(self) -> None:
        """Run the fleet until cancelled."""
        if self.runner is not None:
            await self.runner.run()


@final
class ForwardingVm(BaseVm):
    """Serves the routes in force, and runs the fleet behind them."""

    def __init__(self, settings: Settings, adapter: PlatformAdapter) -> None:
        """Create the VM of checked settings."""
        super().__init__(settings)
        self.adapter = adapter
        self.entry: ForwardEntry | None = None

    def create_work(self) -> ControlWork:
        """Return the orders to the upstreams that the platform lists."""
        return FleetWork(self.adapter, self.transport)

    async def start_entry(
        self,
        stack: AsyncExitStack,
        link: RemoteControlLink,
    ) -> None:
        """Start the entry."""
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
        self.drain_entry = self.entry.drain
        self.background.start(until_set(self.entry.failed), 'entry')

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop at once, and close the connections that the client keeps."""
        await super().__aexit__(exc_type, exc, traceback)
        self.adapter.upstream_client.close()
