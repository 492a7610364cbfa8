"""The work of the control leader besides replicating the control state."""

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
    """Work that runs on each control VM, with effects only on the leader."""

    @abc.abstractmethod
    def attach_node(self, node: ControlNode) -> ExchangeHandler:
        """Set the control node that `run` uses; return the operator handler."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled; returns at once if no node is attached."""


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
