"""The status of a replica."""

from typing import final

import msgspec

from persimmonhold.replication._member_status import MemberStatus


@final
class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Role, progress and members; `is_verified` means it may vote."""

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
