"""Members of the group and their identities."""

from typing import TypeAlias, final

import msgspec

ReplicaId: TypeAlias = str


@final
class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica, that is a VM with an incarnation of its data folder.

    `replica` has the form `vm/incarnation`. A learner, for which `is_voter`
    is false, receives the log but has no vote.
    """

    replica: ReplicaId
    address: str
    is_voter: bool = True

    @property
    def vm(self) -> str:
        """The name of the VM that runs the replica."""
        return vm_of(self.replica)


def vm_of(replica: ReplicaId) -> str:
    """Return the VM name in a replica identity."""
    return replica.partition('/')[0]
