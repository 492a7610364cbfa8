"""The control link of a VM in a system of several VMs."""

import asyncio
import time
from typing import TYPE_CHECKING, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.control.machine import (
    ClaimKey,
    CommandResult,
    CommandStatus,
    EndClaim,
    RegisterVm,
)
from persimmonhold.control.shell._control_client import ControlClient
from persimmonhold.control.shell._control_link import ControlLink
from persimmonhold.control.shell._control_messages import VmCommand
from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import Demand
from persimmonhold.tasks import wait_with_timeout

if TYPE_CHECKING:
    from persimmonhold.control.shell._control_node import ControlNode

_MS_PER_S: Final = 1000
_REGISTER_INTERVAL_S: Final = 0.5
_DRAIN_TIMEOUT_S: Final = 4.0
_REFUSED_CLAIM_STATUSES: Final = frozenset((
    CommandStatus.claim_table_full,
    CommandStatus.claim_unregistered,
))


@final
class RemoteControlLink(ControlLink):
    """Uses the view of the VM's agent; proposes to the control leader."""

    def __init__(
        self,
        vm: VmAgentRunner,
        client: ControlClient,
        node: 'ControlNode | None' = None,
    ) -> None:
        """Create a link; `node` is the replica of this process, if any."""
        super().__init__()
        self._vm = vm
        self._client = client
        self._node = node
        self._registration_due = asyncio.Event()
        self._view_changed_event = asyncio.Event()
        vm.subscribe(self._handle_view_change)

    @property
    def can_serve(self) -> bool:
        """Whether this VM may serve callers from its view."""
        return self._vm.can_serve

    @property
    def control_proof_age_s(self) -> float:
        """How long ago control is known to have had no newer view."""
        return self._vm.clock() - self._vm.agent.proofs.control_proven_at

    @property
    def live_vms(self) -> frozenset[str]:
        """The VMs with a sign of life within the lease."""
        return self._vm.agent.live_vms(self._vm.clock())

    async def run(self) -> None:
        """Register this VM whenever the view lacks its record."""
        while True:
            self._registration_due.clear()
            if not self._vm.is_registered:
                await self._register()
            await wait_with_timeout(
                self._registration_due, _REGISTER_INTERVAL_S
            )

    async def claim_key(
        self, claim: ClaimKey
    ) -> Result[CommandResult, Failure]:
        """Commit a claim in the name of this incarnation of the VM.

        After a failure the request must not be dispatched. The claim may
        still have been committed, which a second claim of the same request
        shows.
        """
        own = msgspec.structs.replace(
            claim,
            vm=self._vm.record.name,
            incarnation=self._vm.record.incarnation,
        )
        proposed = await self._propose(own)
        if isinstance(proposed, Failed):
            return proposed
        result = proposed.unwrap()
        if result.status in _REFUSED_CLAIM_STATUSES:
            return Failed(
                Failure(
                    kind=FailureKind.refused,
                    step='claim an idempotency key',
                    peer=self._vm.agent.leader,
                    detail=result.status.value,
                ),
            )
        return Success(result)

    async def end_claim(
        self,
        end: EndClaim,
    ) -> Result[CommandResult, Failure]:
        """Commit the outcome of a claimed request."""
        return await self._propose(end)

    def report_demand(self, demand: tuple[Demand, ...]) -> None:
        """Send this demand to control with a later report."""
        self._vm.demand = demand

    def set_draining(self, *, draining: bool) -> None:
        """Register this VM with a new draining state."""
        super().set_draining(draining=draining)
        self._vm.set_draining(draining=draining)
        self._registration_due.set()

    async def announce_draining(self) -> bool:
        """Remove this VM from the directory that every VM serves.

        Returns whether it is removed within the timeout. It is removed once
        the view shows it as draining and a further `heartbeat_interval_s` has
        passed, in which every live VM could receive that view.
        """
        self.set_draining(draining=True)
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                await self._wait_until_shown_draining()
        except TimeoutError:
            return False
        return True

    async def _wait_until_shown_draining(self) -> None:
        name = self._vm.record.name
        record_in_view = self._vm.agent.view.vms.get(name)
        while record_in_view is None or not record_in_view.draining:
            self._view_changed_event.clear()
            await self._view_changed_event.wait()
            record_in_view = self._vm.agent.view.vms.get(name)
        await asyncio.sleep(self._vm.timings.heartbeat_interval_s)

    async def _register(self) -> None:
        command = RegisterVm(
            at_ms=int(time.time() * _MS_PER_S),
            vm=self._vm.record,
        )
        await self._propose(command)

    async def _propose(
        self,
        command: VmCommand,
    ) -> Result[CommandResult, Failure]:
        if self._node is not None and self._node.is_leader:
            return await self._node.propose(command)
        return await self._client.propose(command)

    def _handle_view_change(self) -> None:
        self.view = self._vm.agent.view.view()
        self.view_changed.set()
        self._view_changed_event.set()
