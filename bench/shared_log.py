"""A replicated log without consensus, for systems within one process.

All replicas share one list of committed payloads. The caller sets the leader,
which leads while it reaches a majority of the replicas.
"""

import asyncio
from types import TracebackType
from typing import Final, Self, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from bench.memory_network import MemoryNetwork
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.replication import (
    LogApplier,
    ReplicaStatus,
    ReplicatedLog,
)

_COMMIT_DELAY_S: Final = 0.002
_APPLY_INTERVAL_S: Final = 0.05


@final
class LogGroup:
    """Owns the committed payloads and the replicas that apply them."""

    def __init__(self, network: MemoryNetwork) -> None:
        """Create a group without replicas."""
        self.network = network
        self.committed_payloads: list[bytes] = []
        self.replicas: dict[str, SharedLog] = {}
        self.leader = ''
        self.term = 1

    def create_replica(self, name: str, applier: LogApplier) -> 'SharedLog':
        """Add a replica that has applied no payload, and return it."""
        self.replicas[name] = SharedLog(name, self, applier)
        return self.replicas[name]

    def has_quorum(self, name: str) -> bool:
        """Return whether a replica reaches a majority, itself included."""
        reachable = [
            other
            for other in self.replicas
            if other == name or self.network.can_reach(name, other)
        ]
        return name not in self.network.down_vms and (
            len(reachable) > len(self.replicas) // 2
        )


@final
class SharedLog(ReplicatedLog):
    """A replica that applies the payloads of its group."""

    def __init__(
        self,
        name: str,
        group: LogGroup,
        applier: LogApplier,
    ) -> None:
        """Create a replica that has applied no payload."""
        self._name = name
        self._group = group
        self._applier = applier
        self._applied = 0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start to apply committed payloads periodically."""
        self._task = asyncio.create_task(self._apply_periodically())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop to apply committed payloads."""
        if self._task is not None:
            self._task.cancel()

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader and has a quorum."""
        return self._group.leader == self._name and self._has_quorum()

    @property
    def leader(self) -> str:
        """The leader that this replica can reach, or an empty string."""
        leader = self._group.leader
        if leader == self._name or not leader:
            return leader if self.is_leader else ''
        linked = self._group.network.can_reach(self._name, leader)
        return leader if linked else ''

    @property
    def applied_index(self) -> int:
        """The index of the last applied payload."""
        return self._applied

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit after 2 ms if this replica still leads then.

        Fails with `not_leader` before and with `no_quorum` after the delay.
        """
        if not self.is_leader:
            return Failed(self._failure(FailureKind.not_leader))
        await asyncio.sleep(_COMMIT_DELAY_S)
        if self._group.leader != self._name or not self._has_quorum():
            return Failed(self._failure(FailureKind.no_quorum))
        self._group.committed_payloads.append(payload)
        return Success(self.catch_up())

    async def read_barrier(self) -> Result[int, Failure]:
        """Apply all committed payloads; return the applied index."""
        if not self.is_leader:
            return Failed(self._failure(FailureKind.not_leader))
        self.catch_up()
        return Success(self._applied)

    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Make `vm` the leader, by default the next replica."""
        names = list(self._group.replicas)
        position = names.index(self._name) + 1
        self._group.leader = vm or names[position % len(names)]
        return Success(self._group.leader)

    def status(self) -> ReplicaStatus:
        """Return the state of this replica."""
        committed = len(self._group.committed_payloads)
        return ReplicaStatus(
            vm=self._name,
            incarnation='',
            role='leader' if self._group.leader == self._name else 'follower',
            term=self._group.term,
            leader=self.leader,
            is_verified=True,
            lease_s=0,
            last_index=committed,
            commit_index=committed,
            applied_index=self._applied,
            snapshot_index=0,
            members=(),
        )

    def catch_up(self) -> object:
        """Apply the outstanding payloads; return the last result."""
        applied: object = None
        for payload in self._group.committed_payloads[self._applied :]:
            self._applied += 1
            applied = self._applier.apply(self._applied, payload)
        return applied

    async def _apply_periodically(self) -> None:
        """Apply payloads committed by others until cancelled.

        A replica without contact to the leader applies none.
        """
        while True:
            if self.leader or self.is_leader:
                self.catch_up()
            await asyncio.sleep(_APPLY_INTERVAL_S)

    def _has_quorum(self) -> bool:
        return self._group.has_quorum(self._name)

    def _failure(self, kind: FailureKind) -> Failure:
        return Failure(kind=kind, step='propose', peer=self._group.leader)
