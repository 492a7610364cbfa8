"""Chooses the next membership change.

One change at a time, and only while a quorum answers. A new member is added
as a learner, promoted when caught up, and only then the member that it
replaces is removed: the group never counts a voter that lacks the log, and
a returning member can still help until the change is complete.
"""

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._group_health import GroupHealth
from persimmonhold.consensus._member import Member, ReplicaId
from persimmonhold.consensus._spare import Spare


def choose_change(health: GroupHealth) -> Configuration | None:
    """Return the next configuration, or None where none is needed."""
    voters = health.configuration.voters
    live = sum(
        health.silence_s[voter] < health.live_within_s for voter in voters
    )
    if live < health.configuration.quorum:
        return None
    learners = tuple(
        one for one in health.configuration.members if not one.is_voter
    )
    if learners:
        return _advance_learner(health, learners[0])
    if len(voters) > health.target_voters:
        return health.configuration.without(_surplus_voter(health))
    return _add_learner(health)


def _advance_learner(
    health: GroupHealth,
    learner: Member,
) -> Configuration | None:
    silence_s = health.silence_s[learner.replica]
    if _is_superseded(health, learner):
        return health.configuration.without(learner.replica)
    if silence_s >= health.replacement_timeout_s:
        return health.configuration.without(learner.replica)
    is_live = silence_s < health.live_within_s
    if is_live and learner.replica in health.caught_up:
        promoted = Member(learner.replica, learner.address)
        return health.configuration.with_member(promoted)
    return None


def _surplus_voter(health: GroupHealth) -> ReplicaId:
    """Return a voter whose VM has a newer member, else the most silent."""
    members = health.configuration.members
    for position, member in enumerate(members):
        newer = {one.vm for one in members[position + 1 :]}
        is_other = member.is_voter and member.replica != health.leader
        if is_other and member.vm in newer:
            return member.replica
    others = set(health.configuration.voters) - {health.leader}
    return max(sorted(others), key=lambda voter: health.silence_s[voter])


def _add_learner(health: GroupHealth) -> Configuration | None:
    spare = _wanted_spare(health)
    if spare is None:
        return None
    learner = Member(spare.replica, spare.address, is_voter=False)
    return health.configuration.with_member(learner)


def _wanted_spare(health: GroupHealth) -> Spare | None:
    members = {one.vm for one in health.configuration.members}
    returned = [
        one for one in health.spares if one.replica.split('/')[0] in members
    ]
    if returned:
        return returned[0]
    if health.spares and _lacks_voter(health):
        return health.spares[0]
    return None


def _lacks_voter(health: GroupHealth) -> bool:
    voters = health.configuration.voters
    longest_s = max(health.silence_s[voter] for voter in voters)
    return (
        len(voters) < health.target_voters
        or longest_s >= health.replacement_timeout_s
    )


def _is_superseded(health: GroupHealth, member: Member) -> bool:
    return any(
        spare.replica.split('/')[0] == member.vm for spare in health.spares
    )
