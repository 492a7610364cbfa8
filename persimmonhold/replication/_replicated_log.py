"""The interface of the replicated log that the control role uses."""

import abc

from returns.result import Result

from persimmonhold.failures import Failure
from persimmonhold.replication._replica_status import ReplicaStatus


class ReplicatedLog(abc.ABC):
    """A log that applies each committed payload once, in log order."""

    @property
    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Whether this replica is the leader and its lease is still valid."""

    @property
    @abc.abstractmethod
    def leader(self) -> str:
        """The name of the leading VM, or empty if it is unknown."""

    @property
    @abc.abstractmethod
    def applied_index(self) -> int:
        """The index of the last applied payload."""

    @abc.abstractmethod
    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit and apply a payload; return the result of applying it.

        A failure of kind `not_leader` means that the payload is not
        committed and never will be. After `no_quorum` or `timed_out` it may
        still be committed, so payloads must be idempotent.
        """

    @abc.abstractmethod
    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until a read of the applied state is linearizable.

        Returns the index of the last applied entry.
        """

    @abc.abstractmethod
    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Transfer leadership to `vm`, or to the best follower if empty.

        Returns the name of the new leader. Fails if no suitable follower has
        sent a message recently.
        """

    @abc.abstractmethod
    def status(self) -> ReplicaStatus:
        """Return the status of this replica and what it knows of the group."""
