"""Chooses the next membership change that repairs the group.

Changes are made one at a time, and only while a quorum is live. A replacement
joins as a learner. Once it has caught up, the dead voter is removed and then
the learner is promoted. In this order the quorum is never larger than before
the repair. If the learner were promoted first, a group of three would
temporarily need three of four voters, one of them dead, and the loss of the
new member would stop the group.

A spare that was there before the voter fell silent is no successor of its VM,
which may only be frozen or cut off. Then the learner is promoted first: between
the two steps, the loss of as many disks as the group tolerates leaves a quorum
of the larger group, but not of one that lacks the silent voter.

A silent voter whose VM is only frozen or cut off still has its disk, which is
discarded if the voter is removed. If more voters are silent than there are
replacements, the leader cannot tell which of them is gone, so it waits longer
for the others to answer again.
"""

from typing import Final

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._group_health import GroupHealth
from persimmonhold.consensus._member import Member, ReplicaId, vm_of
from persimmonhold.consensus._spare import Spare

# How many replacement timeouts a voter is silent before it is replaced while
# more voters are silent than can be replaced. Disks lost at the same time are
# repaired before the next may be lost, so this may not be much longer.
_UNCERTAIN_TIMEOUTS: Final = 2.5


def choose_membership_change(health: GroupHealth) -> Configuration | None:
    """Return the next configuration, or None if no change is due."""
    voters = health.configuration.voters
    live = sum(
        health.silence_s[voter] < health.live_within_s for voter in voters
    )
    if live < health.configuration.quorum:
        return None
    for member in health.configuration.members:
        if not member.is_voter:
            return _advance_learner(health, member)
    if len(voters) > health.target_voters:
        return health.configuration.without_member(
            _find_dead_voter(health) or _find_most_silent_voter(health)
        )
    return _add_learner(health)


def is_voter_being_replaced(health: GroupHealth) -> bool:
    """Return whether a voter has lost its disk and its VM may join again.

    Such a voter still counts for the size of a quorum, but holds nothing.
    """
    joining = _list_spare_vms(health).union(
        member.vm
        for member in health.configuration.members
        if not member.is_voter
        and health.silence_s[member.replica] < health.live_within_s
    )
    return any(vm_of(voter) in joining for voter in health.configuration.voters)


def _advance_learner(
    health: GroupHealth, learner: Member
) -> Configuration | None:
    """Return the next change for a learner, or None while it catches up.

    The learner is promoted, a dead voter is removed to make room for it, or
    the learner itself is removed, because it is silent, was replaced by a
    newer incarnation, or is not needed any more. It waits while it is unclear
    which voter is dead.
    """
    silence_s = health.silence_s[learner.replica]
    is_replaced = learner.vm in _list_spare_vms(health)
    if is_replaced or silence_s >= health.replacement_timeout_s:
        return health.configuration.without_member(learner.replica)
    is_live = silence_s < health.live_within_s
    if not is_live or learner.replica not in health.caught_up:
        return None
    promoted = health.configuration.with_member(
        Member(learner.replica, learner.address)
    )
    if len(health.configuration.voters) < health.target_voters:
        return promoted
    dead = _find_dead_voter(health)
    if dead and not _is_certain(health, dead):
        return None
    if dead and _is_promoted_first(health, learner, dead):
        return promoted
    # If the voter has come back in the meantime, the learner is not needed.
    return health.configuration.without_member(dead or learner.replica)


def _find_dead_voter(health: GroupHealth) -> ReplicaId:
    """Return a voter to replace, or an empty string if all may be alive.

    A voter is certainly dead if its VM has a newer incarnation.
    """
    replaced_vms = _list_replaced_vms(health)
    for voter in health.configuration.voters:
        if voter != health.leader and vm_of(voter) in replaced_vms:
            return voter
    silent = _find_most_silent_voter(health)
    if health.silence_s.get(silent, 0) >= health.replacement_timeout_s:
        return silent
    return ''


def _is_certain(health: GroupHealth, voter: ReplicaId) -> bool:
    """Return whether a voter may be replaced before the other silent ones.

    That is, its VM has a newer incarnation, each silent voter can be replaced,
    or it has been silent for long.
    """
    if vm_of(voter) in _list_replaced_vms(health):
        return True
    silent = sum(
        health.silence_s[one] >= health.live_within_s
        for one in health.configuration.voters
    )
    limit_s = health.replacement_timeout_s * _UNCERTAIN_TIMEOUTS
    return (
        silent <= _count_replacements(health)
        or health.silence_s[voter] >= limit_s
    )


def _is_promoted_first(
    health: GroupHealth, learner: Member, dead: ReplicaId
) -> bool:
    """Return whether a learner is promoted before a voter is removed.

    That is, it was a spare before the voter fell silent.
    """
    if vm_of(dead) in _list_replaced_vms(health):
        return False
    since = health.waiting_since.get(learner.replica, health.now)
    silent_s = health.silence_s[dead]
    return health.now - since >= silent_s + health.live_within_s


def _count_replacements(health: GroupHealth) -> int:
    """Return the number of live learners and spares.

    A spare sends `Hello` every election timeout; one may be lost.
    """
    learners = sum(
        health.silence_s[member.replica] < health.live_within_s
        for member in health.configuration.members
        if not member.is_voter
    )
    spares = sum(
        health.now - spare.last_hello_at < 2 * health.live_within_s
        for spare in health.spares
    )
    return learners + spares


def _find_most_silent_voter(health: GroupHealth) -> ReplicaId:
    others = set(health.configuration.voters) - {health.leader}
    return max(
        sorted(others),
        key=lambda voter: health.silence_s[voter],
        default='',
    )


def _add_learner(health: GroupHealth) -> Configuration | None:
    is_short = len(health.configuration.voters) < health.target_voters
    if not is_short and not _find_dead_voter(health):
        return None
    spare = _choose_spare(health)
    if spare is None:
        return None
    learner = Member(spare.replica, spare.address, is_voter=False)
    return health.configuration.with_member(learner)


def _choose_spare(health: GroupHealth) -> Spare | None:
    """Return a spare to add; prefer one on the VM of a member.

    A spare on such a VM is a former member that lost its data folder.
    """
    members = {member.vm for member in health.configuration.members}
    return max(
        health.spares,
        key=lambda spare: (vm_of(spare.replica) in members, spare.replica),
        default=None,
    )


def _list_replaced_vms(health: GroupHealth) -> set[str]:
    """Return the VMs with a spare or learner, a newer incarnation."""
    learners = {
        member.vm
        for member in health.configuration.members
        if not member.is_voter
    }
    return learners | _list_spare_vms(health)


def _list_spare_vms(health: GroupHealth) -> set[str]:
    return {vm_of(spare.replica) for spare in health.spares}
