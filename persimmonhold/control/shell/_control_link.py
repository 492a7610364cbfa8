"""The interface through which an entry uses the control state."""

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
    """Gives an entry the newest view and claims idempotency keys for it.

    Invariant: the index of `view` never decreases. `view_changed` is set
    with each newer view; a waiter clears it.
    """

    def __init__(self) -> None:
        """Create a link without a view."""
        self.view = ControlView()
        self.view_changed = asyncio.Event()
        self.is_draining = False

    @property
    def can_serve(self) -> bool:
        """Whether callers may be served from the view.

        Otherwise they are refused with the reason `isolated`.
        """
        return True

    @property
    def control_proof_age_s(self) -> float:
        """How long ago control is known to have had no newer view.

        It is 0 in a system of one process.
        """
        return 0

    @property
    def live_vms(self) -> frozenset[str]:
        """The registered VMs that are not known to be silent."""
        return frozenset(vm.name for vm in self.view.vms)

    def set_draining(self, *, draining: bool) -> None:
        """Remove this VM from the directory, or add it again."""
        self.is_draining = draining

    @abc.abstractmethod
    async def claim_key(
        self, claim: ClaimKey
    ) -> Result[CommandResult, Failure]:
        """Commit a claim; after a failure the request must not be sent."""

    @abc.abstractmethod
    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Commit the outcome of a claimed request."""

    @abc.abstractmethod
    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Report the demand that this entry measured to control."""

    async def announce_draining(self) -> bool:
        """Remove this VM from the directory that every VM serves.

        Returns whether the removal is known to be complete.
        """
        self.set_draining(draining=True)
        return True
