"""The leader work of a VM on a platform."""

from typing import final

from persimmonhold.control.shell import ControlNode
from persimmonhold.forwarding import (
    FleetOperatorHandler,
    FleetRunner,
    PlatformAdapter,
)
from persimmonhold.system._boot_clock import boot_clock
from persimmonhold.system._leader_work import LeaderWork
from persimmonhold.transport import Transport
from persimmonhold.web import ExchangeHandler


@final
class FleetWork(LeaderWork):
    """Runs the fleet controller, which issues orders to listed upstreams."""

    __slots__ = ('adapter', 'runner', 'transport')

    def __init__(self, adapter: PlatformAdapter, transport: Transport) -> None:
        """Create the work of a control VM on a platform."""
        self.adapter = adapter
        self.transport = transport
        self.runner: FleetRunner | None = None

    def attach_node(self, node: ControlNode) -> ExchangeHandler:
        """Create the fleet runner and the handler of operator requests."""
        self.runner = FleetRunner(
            node,
            self.transport,
            self.adapter.upstream_client,
            self.adapter.bounds.order_lease_s,
            boot_clock,
        )
        return FleetOperatorHandler(
            self.runner, self.adapter.create_operator_handler(node)
        )

    async def run(self) -> None:
        """Run the fleet until cancelled; returns at once without a node."""
        if self.runner is not None:
            await self.runner.run()
