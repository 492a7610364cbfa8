"""A link to a control replica that is a system of its own."""

from typing import final

from returns.result import Result

from persimmonhold.control.machine import (
    ClaimKey,
    CommandResult,
    EndClaim,
)
from persimmonhold.control.shell._control_link import ControlLink
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.failures import Failure
from persimmonhold.messages import Demand


@final
class LocalControlLink(ControlLink):
    """Reads the state of a replica and proposes to it."""

    def __init__(self, node: ControlNode) -> None:
        """Create a link that starts with the recovered view."""
        super().__init__()
        self.view = node.view()
        self._node = node

    async def run(self) -> None:
        """Follow the replica until cancelled."""
        while True:
            await self._node.changed.wait()
            self._node.changed.clear()
            self.view = self._node.view()
            self.changed.set()

    async def claim(self, claim: ClaimKey) -> Result[CommandResult, Failure]:
        """Commit a claim."""
        return await self._node.propose(claim)

    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Commit the outcome of a claimed request."""
        return await self._node.propose(end)

    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Keep the newest demand."""
        self._node.local_demand = demand
