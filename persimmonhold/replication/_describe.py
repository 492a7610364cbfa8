"""Builds the status document of a replica."""

from typing import Final

from persimmonhold.consensus import Member, Replica, vm_of
from persimmonhold.replication._member_status import MemberStatus
from persimmonhold.replication._replica_status import ReplicaStatus

_SEPARATOR: Final = '/'


def describe_replica(
    replica: Replica,
    applied_index: int,
    now: float,
) -> ReplicaStatus:
    """Return a replica's status at `now` and what it knows of its group."""
    core = replica.core
    leadership = replica.leadership
    return ReplicaStatus(
        vm=vm_of(core.replica),
        incarnation=_incarnation_of(core.replica),
        role=core.role.value,
        term=core.term,
        leader=vm_of(replica.leader),
        is_verified=core.verification.is_done,
        lease_s=max(float(0), replica.lease_until(now) - now),
        last_index=core.log.last_index,
        commit_index=core.commit_index,
        applied_index=applied_index,
        snapshot_index=core.log.snapshot.index,
        log_bytes=core.log.size_between(
            core.log.base_index + 1, core.log.last_index
        ),
        snapshot_bytes=len(core.log.snapshot.state),
        is_short_of_voters=leadership is not None
        and leadership.is_short_of_voters(now),
        members=tuple(
            _describe_member(replica, member, now)
            for member in replica.configuration.members
        ),
    )


def _describe_member(
    replica: Replica,
    member: Member,
    now: float,
) -> MemberStatus:
    """Return the status of `member` as `replica` knows it."""
    match_index: int | None = None
    silence_s: float | None = None
    if replica.leadership is not None:
        progress = replica.leadership.replicator.progress.get(member.replica)
        if progress is None:
            match_index = replica.core.log.synced_index
            silence_s = 0
        else:
            match_index = progress.match_index
            silence_s = now - progress.last_reply_at
    return MemberStatus(
        vm=member.vm,
        incarnation=_incarnation_of(member.replica),
        address=member.address,
        is_voter=member.is_voter,
        match_index=match_index,
        silence_s=silence_s,
    )


def _incarnation_of(replica_id: str) -> str:
    """Return the incarnation part of a replica id, `VM/incarnation`."""
    return replica_id.partition(_SEPARATOR)[2]
