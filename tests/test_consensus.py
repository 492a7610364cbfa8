"""One failure scenario per test; `Group` checks invariants throughout."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    Not,
    StartsWith,
)

from persimmonhold.consensus import Role
from tests._consensus_group import TIMINGS, Group, Node


def _create_formed_group(voters: int, spares: int = 0) -> Group:
    group = Group(voters, spares)
    group.run(5, until=lambda: group.leader is not None)
    for number in range(20):
        group.propose(b'%d' % number)
        group.run(0.02)
    group.run(0.3)
    return group


def _await_leader(group: Group) -> Node:
    group.run(20, until=lambda: group.leader is not None)
    leader = group.leader
    assert leader is not None, group.describe()
    return leader


def _payloads(node: Node) -> list[bytes]:
    return [payload.partition(b'@')[0] for payload in node.applied]


def _followers(group: Group) -> list[Node]:
    leader = _await_leader(group)
    return [node for node in group.running if node is not leader]


def _isolate(group: Group, vm: str) -> None:
    for name in group.nodes:
        group.cuts |= {(vm, name), (name, vm)}


def _voters(group: Group) -> tuple[str, ...]:
    return _await_leader(group).live.configuration.voters


@pytest.mark.parametrize('voters', [1, 3, 5])
def test_group_forms_and_commits(voters: int) -> None:
    group = _create_formed_group(voters)
    assert_that(_await_leader(group).applied, HasLength(20))
    assert_that(_voters(group), HasLength(voters))


@pytest.mark.parametrize('can_send', [True, False])
def test_cut_off_leader_steps_down_before_another_leads(can_send: bool) -> None:
    group = _create_formed_group(5)
    old = _await_leader(group)
    cuts = {(name, old.vm) for name in group.nodes}
    if not can_send:
        cuts |= {(old.vm, name) for name in group.nodes}
    group.cuts = cuts
    group.read(old.vm)
    group.run(60)
    assert_that(old.live.core.role, Not(Equals(Role.leader)))
    assert_that(group.completed_reads, Equals(0))
    assert_that(_await_leader(group), Not(Equals(old)))
    term = _await_leader(group).live.core.term
    group.cuts.clear()
    group.run(5)
    # Pre-votes keep the returning replica from raising the term.
    assert_that(_await_leader(group).live.core.term, Equals(term))


def test_wiped_replica_returns_as_a_learner_and_replaces_itself() -> None:
    group = _create_formed_group(3)
    vm = _followers(group)[0].vm
    group.wipe(vm)
    group.start(vm)
    node = group.nodes[vm]
    seen = set()
    for _ in range(200):
        group.run(0.02)
        member = _await_leader(group).live.configuration.find_member(f'{vm}/2')
        if member is not None:
            seen.add((member.is_voter, node.disk.log().last_index > 20))
    assert_that(seen, Contains((False, True)))
    assert_that(seen, Not(Contains((True, False))))
    assert_that(_voters(group), Contains(f'{vm}/2'))
    assert_that(_voters(group), Not(Contains(f'{vm}/1')))


def test_wiped_first_vm_does_not_found_a_second_group() -> None:
    group = _create_formed_group(3)
    group.wipe('vm0')
    group.start('vm0')
    group.run(10)
    logs = {node.live.core.log.term_at(1) for node in group.running}
    assert_that(logs, HasLength(1))


def test_older_disk_ends_the_identity() -> None:
    group = _create_formed_group(3)
    node = _followers(group)[0]
    older = node.disk.copy()
    group.propose(b'after the copy')
    group.run(1)
    group.crash(node.vm)
    node.disk = older
    group.start(node.vm)
    group.run(5)
    assert_that(_voters(group), Contains(f'{node.vm}/2'))
    assert_that(_payloads(node), Contains(b'after the copy'))


def test_older_disk_cannot_elect_a_log_without_a_committed_entry() -> None:
    """A restored disk must not help elect a log that lacks a committed entry.

    An entry is committed on three of five replicas. The leader is lost and
    one holder comes back with an older disk, so only the other holder may
    win the election.
    """
    group = _create_formed_group(5)
    first, second, *behind = _followers(group)
    old = _await_leader(group)
    older = first.disk.copy()
    for node in behind:
        _isolate(group, node.vm)
    index = group.propose(b'held by three')
    group.run(0.3)
    assert_that(group.committed[index].payload, StartsWith(b'held by three'))
    group.crash(old.vm)
    group.crash(first.vm)
    first.disk = older
    group.start(first.vm)
    group.cuts.clear()
    _isolate(group, second.vm)
    group.run(10)
    assert_that(group.leader, Equals(None))
    group.cuts.clear()
    assert_that(_payloads(_await_leader(group)), Contains(b'held by three'))


def test_restart_at_the_last_quorum_is_survived() -> None:
    group = _create_formed_group(5)
    gone, other, restarted, *_ = group.running
    for node in group.running:
        timings = msgspec.structs.replace(TIMINGS, verification_timeout_s=3)
        node.live.core.timings = timings
    group.timings = msgspec.structs.replace(TIMINGS, verification_timeout_s=3)
    for node in (gone, other, restarted):
        group.crash(node.vm)
    group.start(restarted.vm)
    assert_that(_await_leader(group).live.core.term, GreaterThan(1))


def test_lost_vm_is_replaced_and_the_next_may_be_lost() -> None:
    group = _create_formed_group(5, spares=2)
    for replaced in range(2):
        lost = _await_leader(group).vm
        group.crash(lost)
        group.run(15)
        assert_that(_voters(group), HasLength(5))
        names = {voter.split('/')[0] for voter in _voters(group)}
        assert_that(names, Not(Contains(lost)))
        assert_that(names, Contains('vm6'))
        assert_that('vm5' in names, Equals(replaced == 1))
    for node in _followers(group)[:2]:
        group.crash(node.vm)
    before = group.last_committed
    assert_that(_await_leader(group).live.core.role, Equals(Role.leader))
    group.run(2)
    assert_that(group.last_committed, GreaterThan(before - 1))


def test_two_vms_wiped_together_are_both_repaired() -> None:
    group = _create_formed_group(5)
    wiped = [node.vm for node in _followers(group)[:2]]
    for vm in wiped:
        group.wipe(vm)
        group.start(vm)
    group.run(10)
    for vm in wiped:
        assert_that(_voters(group), Contains(f'{vm}/2'))
    assert_that(_voters(group), HasLength(5))


def test_nothing_is_replaced_without_a_quorum() -> None:
    group = _create_formed_group(3, spares=1)
    leader = _await_leader(group)
    for node in _followers(group)[:2]:
        group.crash(node.vm)
    group.run(30)
    voters = leader.live.configuration.voters
    assert_that({voter.split('/')[0] for voter in voters}, HasLength(3))


def test_replaced_vm_returns_as_a_spare() -> None:
    group = _create_formed_group(3, spares=1)
    lost = _followers(group)[0].vm
    _isolate(group, lost)
    group.run(15)
    assert_that(_voters(group), Contains('vm3/1'))
    group.cuts.clear()
    group.run(10)
    assert_that(group.nodes[lost].incarnation, Equals(2))
    assert_that(_voters(group), HasLength(3))


def test_replica_behind_hundreds_of_entries_takes_a_snapshot() -> None:
    group = _create_formed_group(3)
    late = _followers(group)[0]
    group.crash(late.vm)
    for number in range(100, 400):
        group.propose(b'%d' % number)
        group.run(0.01)
    group.run(1)
    leader = _await_leader(group)
    group.snapshot(leader.vm, 0)
    assert_that(leader.live.core.log.base_index, GreaterThan(300))
    group.start(late.vm)
    group.run(5)
    assert_that(late.applied, Equals(leader.applied))


def test_leadership_moves_to_an_up_to_date_voter() -> None:
    group = _create_formed_group(3)
    old = _await_leader(group)
    successor = old.live.transfer_leadership(group.now)
    group.perform_actions(old)
    started = group.now
    group.run(1, until=lambda: group.leader not in {None, old})
    assert_that(_await_leader(group).live.core.replica, Equals(successor))
    assert_that(
        group.now - started,
        LessThan(TIMINGS.election_timeout_s),
    )


@pytest.mark.parametrize('voters', [3, 5])
def test_group_that_starts_again_is_led_before_an_election_timeout(
    voters: int,
) -> None:
    """Votes need not wait for a lease if all replicas restarted.

    No leader is left that could hold a lease granted before the restart.
    """
    group = _create_formed_group(voters)
    for name in group.nodes:
        group.crash(name)
    group.run(0.2)
    for name in group.nodes:
        group.start(name)
        group.run(0.01)
    started = group.now
    _await_leader(group)
    assert_that(group.now - started, LessThan(TIMINGS.election_timeout_s))


@pytest.mark.parametrize('seed', range(4))
def test_group_with_a_lost_disk_is_led_soon_after_its_check_ends(
    seed: int,
) -> None:
    timings = msgspec.structs.replace(TIMINGS, verification_timeout_s=0.5)
    group = Group(3, 0, timings, seed)
    group.run(5, until=lambda: group.leader is not None)
    group.propose(b'1')
    group.run(1)
    lost = _await_leader(group).vm
    group.wipe(lost)
    for name in group.nodes:
        group.crash(name)
    group.run(0.2)
    started = group.now
    for name in group.nodes:
        group.start(name)
    _await_leader(group)
    limit_s = timings.verification_timeout_s + 4 * timings.heartbeat_s
    assert_that(group.now - started, LessThan(limit_s))


def test_start_beside_an_unheard_leader_waits_for_its_lease() -> None:
    """A restarted replica may have granted a lease to an unreachable leader.

    `Group` checks that two leases never overlap.
    """
    group = _create_formed_group(3)
    leader = _await_leader(group)
    late, other = _followers(group)
    group.cuts = {(leader.vm, late.vm), (late.vm, leader.vm)}
    group.crash(late.vm)
    group.start(late.vm)
    started = group.now
    group.cuts |= {(leader.vm, other.vm), (other.vm, leader.vm)}
    group.run(10, until=lambda: group.leader not in {None, leader})
    assert_that(
        group.now - started,
        Not(LessThan(TIMINGS.election_timeout_s * TIMINGS.lease_fraction)),
    )


def test_doubled_refusals_do_not_multiply_messages() -> None:
    group = _create_formed_group(3)
    late = _followers(group)[0]
    _isolate(group, late.vm)
    for number in range(100, 300):
        group.propose(b'%d' % number)
    group.run(1)
    group.cuts.clear()
    before = group.serial
    group.run(2)
    assert_that(group.serial - before, LessThan(600))
    assert_that(late.applied, HasLength(220))


def test_follower_that_receives_nothing_does_not_depose_the_leader() -> None:
    group = _create_formed_group(3)
    leader = _await_leader(group)
    unreached = _followers(group)[0]
    group.cuts = {(leader.vm, unreached.vm)}
    term = leader.live.core.term
    group.run(1.9)
    assert_that(leader.live.core.term, Equals(term))
    assert_that(leader.live.lease_until(group.now), GreaterThan(group.now))


def test_membership_changes_wait_for_one_another() -> None:
    group = _create_formed_group(5, spares=2)
    for node in _followers(group)[:2]:
        group.crash(node.vm)
    group.sync_s = 0.6
    group.run(40)
    group.clear_faults()
    group.run(20)
    assert_that(_voters(group), HasLength(5))
    assert_that(len(group.running), Equals(5))
