"""The membership of the group as of a log index."""

from typing import final

import msgspec

from persimmonhold.consensus._member import Member, ReplicaId


@final
class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The voters and learners of the group.

    A replica uses a configuration as soon as it is appended to its log, not
    only once it is committed.
    """

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """The replicas that have a vote."""
        return tuple(
            member.replica for member in self.members if member.is_voter
        )

    @property
    def quorum(self) -> int:
        """The number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def find_member(self, replica: ReplicaId) -> Member | None:
        """Return the member for a replica, or None if it is not a member."""
        for member in self.members:
            if member.replica == replica:
                return member
        return None

    def with_member(self, added: Member) -> 'Configuration':
        """Return a copy with `added`, in place of the replica's old record."""
        kept = self.without_member(added.replica).members
        return Configuration((*kept, added))

    def without_member(self, replica: ReplicaId) -> 'Configuration':
        """Return a copy without a replica."""
        return Configuration(
            tuple(
                member for member in self.members if member.replica != replica
            ),
        )

    def is_quorum(self, replicas: set[ReplicaId]) -> bool:
        """Return whether `replicas` contains a majority of the voters."""
        return len(replicas.intersection(self.voters)) >= self.quorum
