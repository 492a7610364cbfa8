"""The members of the group at a log index."""

from typing import final

import msgspec

from persimmonhold.consensus._member import Member, ReplicaId


@final
class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Voters and learners; in force from the moment it is appended."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """The replicas that vote."""
        return tuple(one.replica for one in self.members if one.is_voter)

    @property
    def quorum(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1

    def find(self, replica: ReplicaId) -> Member | None:
        """Return a member."""
        for member in self.members:
            if member.replica == replica:
                return member
        return None

    def with_member(self, added: Member) -> 'Configuration':
        """Return the members with one added or replaced."""
        kept = self.without_member(added.replica).members
        return Configuration((*kept, added))

    def without_member(self, replica: ReplicaId) -> 'Configuration':
        """Return the members without one."""
        return Configuration(
            tuple(one for one in self.members if one.replica != replica),
        )

    def is_quorum(self, replicas: set[ReplicaId]) -> bool:
        """Tell whether replicas contain a majority of the voters."""
        return len(replicas.intersection(self.voters)) >= self.quorum
