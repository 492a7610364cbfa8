"""The leader work of a deployment without a platform."""

from typing import final

from persimmonhold.control.shell import (
    ControlNode,
    OperatorHandler,
    PlacementRunner,
)
from persimmonhold.observability import Metrics
from persimmonhold.settings import PlacementSettings
from persimmonhold.system._leader_work import LeaderWork
from persimmonhold.web import ExchangeHandler


@final
class PlacementWork(LeaderWork):
    """Places the models of the catalogue on the engines."""

    __slots__ = ('metrics', 'runner', 'settings')

    def __init__(self, settings: PlacementSettings, metrics: Metrics) -> None:
        """Create the placement work of a deployment without a platform."""
        self.settings = settings
        self.metrics = metrics
        self.runner: PlacementRunner | None = None

    def attach_node(self, node: ControlNode) -> ExchangeHandler:
        """Create the placement runner and the handler of operator requests."""
        runner = PlacementRunner(node, self.settings, self.metrics)
        self.runner = runner
        return OperatorHandler(node, self.metrics, runner.explain)

    async def run(self) -> None:
        """Run placement until cancelled; returns at once without a node."""
        if self.runner is not None:
            await self.runner.run()
