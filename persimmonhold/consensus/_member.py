"""A member of the group."""

from typing import TypeAlias, final

import msgspec

ReplicaId: TypeAlias = str


@final
class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica: a VM together with the incarnation of its data folder.

    `replica` is `vm/incarnation`; learners receive the log without a vote.
    """

    replica: ReplicaId
    address: str
    is_voter: bool = True

    @property
    def vm(self) -> str:
        """The name of the VM."""
        return vm_of(self.replica)


def vm_of(replica: ReplicaId) -> str:
    """Return the VM of a replica."""
    return replica.partition('/')[0]
