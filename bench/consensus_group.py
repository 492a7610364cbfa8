"""Replicas in one process, with real files and in-process messages."""

import asyncio
import random
import time
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Self, final

from persimmonhold.consensus import Timings
from persimmonhold.replication import (
    LogApplier,
    ReplicaNode,
    ReplicaSettings,
)
from persimmonhold.transport import Channel, Receiver, Transport


@final
class EventLoopTransport(Transport):
    """Delivers messages in the next iteration of the event loop."""

    def __init__(self, name: str, receivers: dict[str, Receiver]) -> None:
        """Create the transport of one VM."""
        self._name = name
        self._receivers = receivers

    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        """Deliver to `peer` if it has subscribed."""
        receiver = self._receivers.get(peer)
        if receiver is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(receiver, self._name, payload)

    def set_receiver(self, channel: Channel, receiver: Receiver) -> None:
        """Register the receiver of all messages to this VM."""
        self._receivers[self._name] = receiver

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Do nothing: messages are addressed by VM name."""


@final
class FixedStateApplier(LogApplier):
    """Counts payloads; its snapshot is a fixed byte string."""

    def __init__(self, state: bytes = b'') -> None:
        """Create an applier whose snapshot is `state`."""
        self.count = 0
        self._state = state

    def apply(self, index: int, payload: bytes) -> object:
        """Count a payload and return the count."""
        self.count += 1
        return self.count

    def encode_state(self) -> bytes:
        """Return the fixed state."""
        return self._state

    def restore(self, index: int, state: bytes) -> None:
        """Reset the count; `state` is ignored."""
        self.count = 0


@final
class ReplicaGroup:
    """Owns a group of replicas whose files share a parent directory."""

    def __init__(
        self,
        directory: Path,
        replica_count: int,
        seed: int,
        state: bytes = b'',
        snapshot_entries: int = 1_000_000,
    ) -> None:
        """Create a group; entering its context starts the replicas."""
        self.nodes: list[ReplicaNode] = []
        self._exit_stack = AsyncExitStack()
        receivers: dict[str, Receiver] = {}
        initial_members = {f'vm{number}': '' for number in range(replica_count)}
        for name in initial_members:
            settings = ReplicaSettings(
                name=name,
                address='',
                initial_members=initial_members,
                timings=Timings(election_timeout_s=1.0),
                entries_per_snapshot=snapshot_entries,
                proposal_timeout_s=30.0,
            )
            node = ReplicaNode(
                settings,
                directory / name,
                EventLoopTransport(name, receivers),
                FixedStateApplier(state),
                random.Random(f'{name} {seed}'),
                time.monotonic,
            )
            self.nodes.append(node)

    async def __aenter__(self) -> Self:
        """Start the replicas."""
        for node in self.nodes:
            await self._exit_stack.enter_async_context(node)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the replicas."""
        await self._exit_stack.aclose()

    async def wait_for_leader(self) -> ReplicaNode:
        """Wait for a leader that holds a lease; return it."""
        leaders = [node for node in self.nodes if node.is_leader]
        while not leaders:
            await asyncio.sleep(0.02)
            leaders = [node for node in self.nodes if node.is_leader]
        return leaders[0]
