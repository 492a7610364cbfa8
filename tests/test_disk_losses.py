"""Acknowledged changes after losses of VMs and as many disks as allowed."""

from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, Not

from persimmonhold.consensus import vm_of
from tests._consensus_group import Group
from tests._disk_losses import LossScenario, play

_FAULTS: Final = 40
_RETURN_S: Final = 2.9


def _find_follower(scenario: LossScenario, *others: str) -> str:
    leader = scenario.group.leader
    assert leader is not None
    return next(
        vm
        for vm in sorted(scenario.group.nodes)
        if vm not in {leader.vm, *others}
    )


@pytest.mark.parametrize('seed', range(6))
def test_frozen_leader_is_not_replaced_by_the_successor_of_a_removed_vm(
    seed: int,
) -> None:
    """Its disk was discarded, so two lost disks more left two of five voters."""
    scenario = LossScenario(seed, tolerance=2, spares=0)
    scenario.form()
    frozen = scenario.group.leader
    assert frozen is not None
    gone = _find_follower(scenario)
    scenario.replace(gone, 0.1)
    scenario.run(0.3)
    scenario.freeze(frozen.vm, _RETURN_S)
    scenario.run(_RETURN_S - 0.1)
    scenario.acknowledge()
    assert_that(scenario.changes.acknowledged, HasLength(1))
    lost = _find_follower(scenario, frozen.vm, *scenario.lost_disks)
    scenario.crash_all_but_wipe({lost, *scenario.lost_disks})
    scenario.check_recovery()


@pytest.mark.parametrize(
    ('seed', 'tolerance', 'spares'),
    [
        (58, 2, 0),
        (195, 2, 0),
        *((seed, 2, 0) for seed in range(4)),
        *((seed, 2, 1) for seed in range(4)),
        *((seed, 1, 1) for seed in range(4)),
    ],
)
def test_acknowledged_changes_outlive_losses_that_are_allowed(
    seed: int, tolerance: int, spares: int
) -> None:
    """Seeds 58 and 195 lost the group: a sound disk had been discarded."""
    scenario = play(seed, tolerance, spares, _FAULTS)
    assert_that(scenario.changes.acknowledged, Not(HasLength(0)))


@pytest.mark.parametrize('seed', range(6))
def test_spare_is_promoted_before_a_silent_voter_is_removed(seed: int) -> None:
    """Two disks lost between the two steps left two of four voters."""
    scenario = LossScenario(seed, tolerance=2, spares=1)
    scenario.form()
    scenario.run(1)
    silent = _find_follower(scenario)
    scenario.acknowledge()
    before = set(scenario.voters)
    lost = {vm_of(one) for one in sorted(before)} - {silent}
    lost = set(sorted(lost)[:2])
    scenario.freeze(silent, 3)
    scenario.run(3, lambda: set(scenario.voters) != before)
    assert_that(scenario.voters, Not(HasLength(len(before))))
    scenario.crash_all_but_wipe(lost)
    scenario.check_recovery()


@pytest.mark.parametrize('seed', [0])
def test_disk_may_be_lost_while_a_late_spare_replaces_a_frozen_voter(
    seed: int,
) -> None:
    """A spare that joins later is taken for the successor of a removed VM."""
    scenario = LossScenario(seed, tolerance=1, spares=0)
    scenario.form()
    scenario.run(1)
    silent = _find_follower(scenario)
    before = set(scenario.voters)
    scenario.acknowledge()
    scenario.freeze(silent, 3)
    scenario.run(0.5)
    spare = scenario.add_spare()
    scenario.run(3, lambda: set(scenario.voters) != before)
    assert_that(scenario.voters, Not(HasLength(len(before))))
    scenario.crash_all_but_wipe({_find_follower(scenario, silent, spare)})
    scenario.check_recovery()


def test_changes_wait_while_a_voter_without_its_disk_is_replaced() -> None:
    """The loss of another disk left one of three voters, and no quorum."""
    group = Group(3)
    group.run(5, lambda: group.leader is not None)
    leader = group.leader
    assert leader is not None
    group.propose(b'before')
    group.run(1)
    wiped = next(vm for vm in sorted(group.nodes) if vm != leader.vm)
    lost = group.nodes[wiped].live.core.replica
    group.wipe(wiped)
    group.start(wiped)
    observed = 0
    for _ in range(300):
        group.run(0.01)
        leadership = leader.live.leadership
        assert leadership is not None
        if (
            wiped in leadership.spares
            and lost in leader.live.configuration.voters
        ):
            observed += 1
            is_short = leadership.is_short_of_voters(group.now)
            assert_that(is_short, Equals(True))
    assert_that(observed, GreaterThan(0))
    restored = leader.live.leadership
    assert restored is not None
    assert_that(restored.is_short_of_voters(group.now), Equals(False))
