"""The control link of a system with one replica in this process."""

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
    """Reads the state of the local replica and proposes to it."""

    def __init__(self, node: ControlNode) -> None:
        """Create a link that starts with the recovered view."""
        super().__init__()
        self.view = node.view()
        self._node = node

    async def run(self) -> None:
        """Update the view after each change of the replica."""
        while True:
            await self._node.state_changed.wait()
            self._node.state_changed.clear()
            self.view = self._node.view()
            self.view_changed.set()

    async def claim_key(
        self, claim: ClaimKey
    ) -> Result[CommandResult, Failure]:
        """Commit a claim."""
        return await self._node.propose(claim)

    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Commit the outcome of a claimed request."""
        return await self._node.propose(end)

    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Replace the demand that placement reads from the local replica."""
        self._node.local_demand = demand
