"""Losses of all VMs while the control group still grows to its full size."""

from typing import Final

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import HasLength

from tests._consensus_group import TIMINGS, Group

_SEEDS: Final = 3
_VOTERS: Final = 5
_FORMATION_S: Final = 10.0
_RECOVERY_S: Final = 20.0


def _start(group: Group, *vms: str) -> None:
    for vm in vms:
        group.start(vm)
        group.nodes[vm].live.target_voters = _VOTERS


def _create_group(seed: int) -> Group:
    """Return a group of three seeds that is to grow to five voters."""
    timings = msgspec.structs.replace(
        TIMINGS, verification_timeout_s=0.5, replacement_timeout_s=1.5
    )
    group = Group(_SEEDS, _VOTERS - _SEEDS, timings, seed)
    for node in group.nodes.values():
        node.live.target_voters = _VOTERS
    return group


def _find_learner(group: Group) -> str:
    """Return the VM that all seeds know as a learner, or an empty string."""
    seeds = [group.nodes[vm] for vm in group.initial]
    known = [
        {one.vm for one in node.live.configuration.members if not one.is_voter}
        for node in seeds
    ]
    return next(iter(set.intersection(*known)), '')


@pytest.mark.parametrize('seed', range(10))
def test_learner_that_lost_its_disk_is_not_promoted_by_a_new_leader(
    seed: int,
) -> None:
    """The group could then elect no leader any more: four voters, two gone."""
    group = _create_group(seed)
    group.run(_FORMATION_S, lambda: bool(_find_learner(group)))
    learner = _find_learner(group)
    leader = group.leader
    assert leader is not None
    for vm in group.nodes:
        group.crash(vm)
    group.wipe(learner)
    group.wipe(leader.vm)
    _start(group, *group.nodes)
    group.run(
        _RECOVERY_S,
        lambda: (
            group.leader is not None
            and len(group.leader.live.configuration.voters) == _VOTERS
        ),
    )
    leader = group.leader
    assert leader is not None, group.describe()
    assert_that(leader.live.configuration.voters, HasLength(_VOTERS))
