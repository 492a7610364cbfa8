"""How an entry reaches the control state."""

import abc
import asyncio

from returns.result import Result

from persimmonhold.control.machine import (
    ClaimKey,
    CommandResult,
    EndClaim,
)
from persimmonhold.failures import Failure
from persimmonhold.messages import ControlView, Demand


class ControlLink(abc.ABC):
    """The newest view this process has, and claims of idempotency keys.

    Invariant: the index of `view` never falls. `changed` is set with each
    newer view; who waits for it clears it first.
    """

    def __init__(self) -> None:
        """Create a link without a view."""
        self.view = ControlView()
        self.changed = asyncio.Event()
        self.is_draining = False

    @property
    def can_serve(self) -> bool:
        """Tell whether callers may be served from the view.

        Where not, they are refused with the reason `isolated`.
        """
        return True

    @property
    def live_vms(self) -> frozenset[str]:
        """The registered VMs that are not known to be silent."""
        return frozenset(vm.name for vm in self.view.vms)

    def set_draining(self, *, draining: bool) -> None:
        """Have this VM taken out of, or put into, the directory."""
        self.is_draining = draining

    @abc.abstractmethod
    async def claim(self, claim: ClaimKey) -> Result[CommandResult, Failure]:
        """Commit a claim; a failure means that it may not be dispatched."""

    @abc.abstractmethod
    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Commit the outcome of a claimed request."""

    @abc.abstractmethod
    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Tell control what callers asked of this entry."""

    async def announce_draining(self) -> bool:
        """Take this VM out of every directory; tell whether it is out."""
        self.set_draining(draining=True)
        return True
