"""Chooses the next membership change.

One change at a time, and only while a quorum answers. A replacement is
added as a learner. When it is caught up, the dead voter is removed, and
then the learner is promoted. In this order the voters that must answer are
never more than before the repair: were the learner promoted first, a group
of three would for a moment need three of four, one of them dead, and the
loss of the new member would stop it.
"""

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._group_health import GroupHealth
from persimmonhold.consensus._member import Member, ReplicaId, vm_of
from persimmonhold.consensus._spare import Spare


def choose_membership_change(health: GroupHealth) -> Configuration | None:
    """Return the next configuration, or None where none is needed."""
    voters = health.configuration.voters
    live = sum(
        health.silence_s[voter] < health.live_within_s for voter in voters
    )
    if live < health.configuration.quorum:
        return None
    for member in health.configuration.members:
        if not member.is_voter:
            return _advance(health, member)
    if len(voters) > health.target_voters:
        return health.configuration.without_member(_most_silent(health))
    return _add_learner(health)


def _advance(health: GroupHealth, learner: Member) -> Configuration | None:
    """Return the next step towards making a learner a voter."""
    silence_s = health.silence_s[learner.replica]
    is_gone = learner.vm in _spare_vms(health)
    if is_gone or silence_s >= health.replacement_timeout_s:
        return health.configuration.without_member(learner.replica)
    is_live = silence_s < health.live_within_s
    if not is_live or learner.replica not in health.caught_up:
        return None
    if len(health.configuration.voters) < health.target_voters:
        promoted = Member(learner.replica, learner.address)
        return health.configuration.with_member(promoted)
    dead = _dead_voter(health)
    # A voter that came back in the meantime makes the learner superfluous.
    return health.configuration.without_member(dead or learner.replica)


def _dead_voter(health: GroupHealth) -> ReplicaId:
    """Return a voter to replace, or nothing where all may be alive.

    A voter is certainly gone where its VM has a newer incarnation.
    """
    newer = _spare_vms(health)
    newer |= {
        one.vm for one in health.configuration.members if not one.is_voter
    }
    for voter in health.configuration.voters:
        if voter != health.leader and vm_of(voter) in newer:
            return voter
    silent = _most_silent(health)
    if health.silence_s.get(silent, 0) >= health.replacement_timeout_s:
        return silent
    return ''


def _most_silent(health: GroupHealth) -> ReplicaId:
    others = set(health.configuration.voters) - {health.leader}
    return max(
        sorted(others),
        key=lambda voter: health.silence_s[voter],
        default='',
    )


def _add_learner(health: GroupHealth) -> Configuration | None:
    is_short = len(health.configuration.voters) < health.target_voters
    if not is_short and not _dead_voter(health):
        return None
    spare = _best_spare(health)
    if spare is None:
        return None
    learner = Member(spare.replica, spare.address, is_voter=False)
    return health.configuration.with_member(learner)


def _best_spare(health: GroupHealth) -> Spare | None:
    """Prefer a VM that returns with an empty folder."""
    members = {one.vm for one in health.configuration.members}
    return max(
        health.spares,
        key=lambda spare: (vm_of(spare.replica) in members, spare.replica),
        default=None,
    )


def _spare_vms(health: GroupHealth) -> set[str]:
    return {vm_of(spare.replica) for spare in health.spares}
