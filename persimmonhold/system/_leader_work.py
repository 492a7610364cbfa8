"""What a control VM does besides keeping the replicated state."""

import abc
from typing import final

from persimmonhold.control.shell import (
    ControlNode,
    OperatorHandler,
    PlacementRunner,
)
from persimmonhold.observability import Metrics
from persimmonhold.settings import PlacementSettings
from persimmonhold.web import ExchangeHandler


class LeaderWork(abc.ABC):
    """Work on a replica; only the one that leads acts."""

    @abc.abstractmethod
    def attach_node(self, node: ControlNode) -> ExchangeHandler:
        """Take the replica; return what answers operators."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled."""


@final
class PlacementWork(LeaderWork):
    """Places the models of the catalogue on its engines."""

    __slots__ = ('metrics', 'runner', 'settings')

    def __init__(self, settings: PlacementSettings, metrics: Metrics) -> None:
        """Create the work of a VM of the product's own deployments."""
        self.settings = settings
        self.metrics = metrics
        self.runner: PlacementRunner | None = None

    def attach_node(self, node: ControlNode) -> ExchangeHandler:
        """Create the runner and the handler of a replica."""
        runner = PlacementRunner(node, self.settings, self.metrics)
        self.runner = runner
        return OperatorHandler(node, self.metrics, runner.explain)

    async def run(self) -> None:
        """Run placement until cancelled."""
        if self.runner is not None:
            await self.runner.run()
