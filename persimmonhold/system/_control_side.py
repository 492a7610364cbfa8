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
from persimmonhold.placement import check_fit
from persimmonhold.replication import ReplicaNode, ReplicaSettings
from persimmonhold.settings import PeerSettings, Settings
from persimmonhold.system._boot_clock import boot_time
from persimmonhold.system._control_work import ControlWork
from persimmonhold.tasks import BackgroundTasks
from persimmonhold.transport import Transport
from persimmonhold.web import HttpBounds, HttpServer, parse_address

_MS_PER_S: Final = 1000
_WATCH_INTERVAL_S: Final = 0.5


@final
class ControlSide:
    """Owns the replica, the leader's work and the operators' server."""

    __slots__ = ('_background', '_stack', 'node', 'operators', 'replica')

    def __init__(
        self,
        settings: Settings,
        vm: VmAgentRunner,
        transport: Transport,
        work: ControlWork,
        background: BackgroundTasks,
    ) -> None:
        """Create the control role; entering the context starts it.

        `work` is what the leader does besides keeping the state.
        """
        applier = ControlApplier(ControlStateMachine(check_fit))
        self.replica = ReplicaNode(
            replica_settings(settings.vm.name, settings.peers),
            Path(settings.vm.data_directory),
            transport,
            applier,
            random.Random(),
            boot_time,
        )
        self.node = ControlNode(applier, self.replica, vm)
        handler = work.begin(self.node)
        self.operators = HttpServer(
            parse_address(settings.operators.address).unwrap(),
            handler,
            HttpBounds(),
        )
        self._background = background
        self._stack = AsyncExitStack()
        background.start(LeaderDuties(self.node, vm).run(), 'leader duties')
        background.start(work.run(), 'leader work')
        background.start(self._watch_replica(), 'replica')

    async def __aenter__(self) -> Self:
        """Recover, join the group and listen for operators."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.replica)
            await stack.enter_async_context(self.operators)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the server and the replica."""
        await self._stack.aclose()

    async def drain(self) -> None:
        """Hand leadership over and end the requests of operators."""
        if self.node.is_leader:
            await self.replica.transfer_leadership()
        await self.operators.drain()

    async def _watch_replica(self) -> None:
        """End once the replica has stopped for good."""
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_S)
            if self.replica.failure is not None:
                return


def replica_settings(name: str, peers: PeerSettings) -> ReplicaSettings:
    """Return the settings of the replica of a VM."""
    return ReplicaSettings(
        name=name,
        address=peers.address,
        initial=peers.control_addresses,
        voters=peers.voters,
        may_found=peers.first_start,
        timings=Timings(
            heartbeat_s=peers.heartbeat_ms / _MS_PER_S,
            election_timeout_s=peers.election_timeout_ms / _MS_PER_S,
            verification_timeout_s=peers.verification_ms / _MS_PER_S,
            replacement_timeout_s=peers.replacement_ms / _MS_PER_S,
        ),
    )
