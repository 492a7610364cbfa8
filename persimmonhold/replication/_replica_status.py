"""The status of a replica of the control log."""

from typing import final

import msgspec

from persimmonhold.replication._member_status import MemberStatus


@final
class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of one replica: its role, its progress and its group.

    `is_verified` means that the replica may vote, because enough other voters
    have answered since its start. `lease_s` is the remaining time of its
    lease as leader. `failure` is empty unless a disk failure stopped it.
    `is_short_of_voters` tells that a leader has fewer voters than it should
    while other replicas are about to join. `log_bytes` is the size of the
    entries in memory, `log_file_bytes` that of the segments on disk,
    `snapshot_bytes` that of the state in the snapshot, and `recovered_bytes`
    what the last start read of segments and snapshot.
    """

    vm: str
    incarnation: str
    role: str
    term: int
    leader: str
    is_verified: bool
    lease_s: float
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    members: tuple[MemberStatus, ...]
    failure: str = ''
    is_short_of_voters: bool = False
    log_bytes: int = 0
    log_file_bytes: int = 0
    snapshot_bytes: int = 0
    recovered_bytes: int = 0

    @property
    def has_leadership(self) -> bool:
        """Whether the replica leads its term, even if its lease has lapsed.

        Once false, it stays false for the rest of the term.
        """
        return self.role == 'leader' and not self.failure
