"""The control role of one VM."""

import asyncio
import random
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

from persimmonhold.consensus import Timings
from persimmonhold.control.machine import ControlStateMachine
from persimmonhold.control.shell import (
    ControlApplier,
    ControlNode,
    LeaderDuties,
    VmAgentRunner,
)
from persimmonhold.placement import explain_misfit
from persimmonhold.replication import LogBounds, ReplicaNode, ReplicaSettings
from persimmonhold.settings import PeerSettings, Settings, VmSettings
from persimmonhold.system._boot_clock import boot_clock
from persimmonhold.system._leader_work import LeaderWork
from persimmonhold.tasks import BackgroundTasks
from persimmonhold.transport import Transport
from persimmonhold.web import (
    HttpBounds,
    HttpServer,
    MemoryBudget,
    parse_address,
)

_MS_PER_S: Final = 1000
_FAILURE_CHECK_INTERVAL_S: Final = 0.5


@final
class ControlRole:
    """Runs the control replica, the leader work and the operator server."""

    __slots__ = (
        '_background',
        '_exit_stack',
        'node',
        'operator_server',
        'replica',
    )

    def __init__(
        self,
        settings: Settings,
        vm: VmAgentRunner,
        transport: Transport,
        leader_work: LeaderWork,
        background: BackgroundTasks,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create the control role and start its background tasks.

        Entering the context starts the replica and the operator server.
        `leader_work` runs besides the replication of the control state.
        """
        applier = ControlApplier(ControlStateMachine(explain_misfit))
        self.replica = ReplicaNode(
            create_replica_settings(settings.vm, settings.peers),
            Path(settings.vm.data_directory),
            transport,
            applier,
            random.Random(),
            boot_clock,
        )
        self.replica.address_book.subscribe(vm.use_member_addresses)
        self.node = ControlNode(applier, self.replica, vm)
        handler = leader_work.attach_node(self.node)
        self.operator_server = HttpServer(
            parse_address(settings.operators.address).unwrap(),
            handler,
            HttpBounds(),
            budget=budget,
        )
        self._background = background
        self._exit_stack = AsyncExitStack()
        background.start_task(
            LeaderDuties(self.node, vm).run(), 'leader duties'
        )
        background.start_task(leader_work.run(), 'leader work')
        background.start_task(self._wait_for_replica_failure(), 'replica')

    async def __aenter__(self) -> Self:
        """Start the replica and the operator server."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.replica)
            await stack.enter_async_context(self.operator_server)
            self._exit_stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the operator server and the replica."""
        await self._exit_stack.aclose()

    async def drain(self) -> None:
        """Transfer any leadership and complete the operators' requests."""
        if self.node.is_leader:
            await self.replica.transfer_leadership()
        await self.operator_server.drain()

    async def _wait_for_replica_failure(self) -> None:
        """Return once the replica has stopped because of a failure."""
        while True:
            await asyncio.sleep(_FAILURE_CHECK_INTERVAL_S)
            if self.replica.failure is not None:
                return


def create_replica_settings(
    vm: VmSettings, peers: PeerSettings
) -> ReplicaSettings:
    """Return the settings of the control replica of a VM."""
    bounds = LogBounds.for_resources(vm.disk_mb, vm.memory_mb)
    return ReplicaSettings(
        name=vm.name,
        address=peers.address,
        initial_members=peers.control_addresses,
        voter_count=peers.voters,
        can_bootstrap=peers.first_start,
        timings=Timings(
            heartbeat_s=peers.heartbeat_ms / _MS_PER_S,
            election_timeout_s=peers.election_timeout_ms / _MS_PER_S,
            verification_timeout_s=peers.verification_ms / _MS_PER_S,
            replacement_timeout_s=peers.replacement_ms / _MS_PER_S,
            max_in_flight_bytes=bounds.in_flight_bytes,
        ),
        bounds=bounds,
    )
