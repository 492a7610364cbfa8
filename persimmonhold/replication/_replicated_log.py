"""What the control process asks of its replicated log."""

import abc

from returns.result import Result

from persimmonhold.failures import Failure
from persimmonhold.replication._replica_status import ReplicaStatus


class ReplicatedLog(abc.ABC):
    """A log whose committed payloads are applied in order, once each."""

    @property
    @abc.abstractmethod
    def is_leader(self) -> bool:
        """Tell whether this replica leads and its lease holds."""

    @property
    @abc.abstractmethod
    def leader(self) -> str:
        """The name of the leading VM, or empty where it is unknown."""

    @property
    @abc.abstractmethod
    def applied_index(self) -> int:
        """The index of the last applied payload."""

    @abc.abstractmethod
    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit and apply a payload; return what `apply` returned.

        Fails with `not_leader` (certainly not committed) or `no_quorum`
        and `timed_out` (may still commit; the payload must be idempotent).
        """

    @abc.abstractmethod
    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until a read of the applied state is linearizable."""

    @abc.abstractmethod
    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Hand leadership to a VM or the best follower; return its name.

        Fails where no such follower has been heard of lately.
        """

    @abc.abstractmethod
    def status(self) -> ReplicaStatus:
        """Describe the replica and the group as it knows it."""
