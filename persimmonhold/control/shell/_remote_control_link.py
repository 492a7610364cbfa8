"""The control link of a VM that is one of many."""

import asyncio
import time
from typing import Final, final

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
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._vm_shell import VmShell
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import Demand
from persimmonhold.tasks import wait_at_most

_MS_PER_S: Final = 1000
_REGISTER_INTERVAL_S: Final = 0.5
_DRAIN_TIMEOUT_S: Final = 4.0
_UNGRANTED: Final = frozenset((
    CommandStatus.claim_table_full,
    CommandStatus.claim_unregistered,
))


@final
class RemoteControlLink(ControlLink):
    """Follows the view of the VM; proposes to the leader of control."""

    def __init__(
        self,
        vm: VmShell,
        client: ControlClient,
        node: ControlNode | None = None,
    ) -> None:
        """Create a link; `node` is the replica of this process, if any."""
        super().__init__()
        self._vm = vm
        self._client = client
        self._node = node
        self._due = asyncio.Event()
        self._shown = asyncio.Event()
        vm.subscribe(self._view_changed)

    @property
    def serving_allowed(self) -> bool:
        """Tell whether this VM may serve callers from its view."""
        return self._vm.serving_allowed

    @property
    def live_vms(self) -> frozenset[str]:
        """The VMs that are known to have lived within a lease."""
        return self._vm.agent.live_vms(self._vm.clock())

    async def run(self) -> None:
        """Keep this VM registered as it is, until cancelled."""
        while True:
            self._due.clear()
            if not self._vm.is_registered:
                await self._register()
            await wait_at_most(self._due, _REGISTER_INTERVAL_S)

    async def claim(self, claim: ClaimKey) -> Result[CommandResult, Failure]:
        """Commit a claim of this incarnation of the VM.

        A failure tells that the claim may not be dispatched now; whether it
        was committed shows when the same request claims again.
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
        if result.status in _UNGRANTED:
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
        """Have the next report carry this demand."""
        self._vm.demand = demand

    def mark_draining(self, *, draining: bool) -> None:
        """Have this VM registered with another draining state."""
        super().mark_draining(draining=draining)
        self._vm.mark_draining(draining=draining)
        self._due.set()

    async def announce_draining(self) -> bool:
        """Take this VM out of every directory; tell whether it is out.

        It is out once each VM that lives has had the time to hear of it.
        """
        self.mark_draining(draining=True)
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                await self._until_shown_draining()
        except TimeoutError:
            return False
        return True

    async def _until_shown_draining(self) -> None:
        name = self._vm.record.name
        shown = self._vm.agent.view.vms.get(name)
        while shown is None or not shown.draining:
            self._shown.clear()
            await self._shown.wait()
            shown = self._vm.agent.view.vms.get(name)
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
        if self._node is not None and self._node.leads:
            return await self._node.propose(command)
        return await self._client.propose(command)

    def _view_changed(self) -> None:
        self.view = self._vm.agent.view.view()
        self.changed.set()
        self._shown.set()
