"""The failure that each rule for orders and withdrawals prevents."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from persimmonhold.messages import CopyState, HeldItem, OrderKind, Residency
from persimmonhold.placement import Move, MoveKind, Place
from tests.placement_world import (
    QUARANTINE_S,
    SETTINGS,
    World,
    engine,
    model,
)

_ENGINE = 'engine-1'
_PLACE = Place(_ENGINE, 'a0')


def _settled(*, checks: bool = True, copies: int = 1) -> World:
    """Return a system of two engines and two models that all serve."""
    world = World((
        engine(_ENGINE, 'd1', 100, checks_fencing=checks),
        engine(
            'engine-2', 'd2' if copies > 1 else 'd1', 100, checks_fencing=checks
        ),
        model('a', 40),
        model('b', 45),
    ))
    assert world.heal(rounds=100)
    return world


def _messages(world: World) -> list[int]:
    return [
        message.order.fence
        for message in world.network
        if message.order.upstream == _ENGINE
    ]


def _withdraw(target: str, upstream: str) -> Move:
    return Move(
        kind=MoveKind.withdraw,
        target=target,
        version='1',
        place=Place(upstream, 'a0'),
        reason='test',
    )


def _states(world: World, target: str) -> list[str]:
    copies = world.machine.state.copies.values()
    return sorted(copy.state for copy in copies if copy.target == target)


def _unloads(world: World) -> list[str]:
    orders = world.machine.state.orders.values()
    return [
        order.target
        for order in orders
        if order.kind is OrderKind.unload and order.target
    ]


def test_restarted_engine_takes_no_load_before_a_higher_number() -> None:
    world = _settled()
    world.restart(_ENGINE, keep=False)
    for _ in range(8):
        world.step(1.0)
    issuer = world.leader.issuer
    assert_that(issuer.is_ready_for_loads(_ENGINE), Equals(False))
    sent = {
        message.order.target
        for message in world.network
        if message.order.upstream == _ENGINE
    }
    assert_that(sent, Equals({''}))
    assert_that(world.heal(rounds=100), Equals(True))


def test_orders_to_an_engine_go_out_one_after_the_other() -> None:
    world = World((
        engine(_ENGINE, 'd1', 100),
        model('a', 40),
        model('b', 45),
    ))
    for _ in range(12):
        world.step(0.5)
        if len(world.machine.state.orders) > 1:
            break
        while world.network and world.network[0].order.target == '':
            world.deliver(0)
        world.begin(world.engines[_ENGINE])
    for _ in range(6):
        world.step(0.5)
    assert_that(len(world.machine.state.orders) > 1, Equals(True))
    assert_that(set(_messages(world)), HasLength(1))


def test_unexplained_items_are_reserved() -> None:
    world = World((engine(_ENGINE, 'd1', 100), model('a', 40)))
    memory = world.engines[_ENGINE].memory
    memory.held_items['a0', 'stray', '9'] = HeldItem(
        accelerator='a0',
        target='stray',
        version='9',
        memory_bytes=90,
        residency=Residency.ready,
        fence=0,
    )
    world.step(1.0)
    ledger = world.leader.issuer.fork_ledger()
    assert_that(ledger.free_bytes(_PLACE), Equals(10))
    assert_that(world.heal(rounds=100), Equals(True))
    assert_that(list(memory.held_items), Equals([('a0', 'a', '1')]))


def test_intent_with_unknown_result_stays_reserved() -> None:
    world = World((engine(_ENGINE, 'd1', 100), model('a', 40)))
    assert world.heal(rounds=30)
    world.put(model('b', 30))
    world.is_next_commit_unconfirmed = True
    world.step(0.5)
    pending = [order.target for order in world.delayed_commits]
    assert_that(pending, Equals(['b']))
    free = world.leader.issuer.fork_ledger().free_bytes(_PLACE)
    assert_that(free, Equals(100 - 40 - 30))


@pytest.mark.parametrize('doubt', ['leader change', 'lost answer'])
def test_doubtful_load_of_an_ignoring_engine_outlives_quarantine(
    doubt: str,
) -> None:
    world = World((
        engine(_ENGINE, 'd1', 100, checks_fencing=False),
        model('a', 40),
    ))
    while not world.network:
        world.step(0.5)
    if doubt == 'leader change':
        world.elect()
    world.deliver(0, answers=False)
    world.complete(world.engines[_ENGINE])
    began_at = world.now
    while world.now < began_at + QUARANTINE_S:
        world.step(0.5)
        assert_that(world.machine.state.orders, HasLength(1))
        while world.network:
            world.deliver(0)
    assert_that(_states(world, 'a'), Equals([CopyState.serving]))
    assert_that(world.heal(rounds=30), Equals(True))


def test_new_leader_counts_the_window_before_it_as_full() -> None:
    world = World((
        *(engine(f'engine-{index}', 'd1', 100) for index in range(4)),
        *(model(f'm{index}', 60) for index in range(4)),
    ))
    while len(world.load_sends) < 2:
        world.play_round(0.1)
    world.elect()
    elected_at = world.now
    known = len(world.load_sends)
    while world.now < elected_at + 0.9:
        world.play_round(0.1)
        assert_that(world.load_sends, HasLength(known))
    assert_that(world.heal(rounds=100), Equals(True))


def test_unload_waits_until_every_entry_has_the_withdrawal() -> None:
    world = _settled(copies=2)
    for _ in range(20):
        world.play_round(1.0)
    both = [CopyState.serving, CopyState.serving]
    assert_that(_states(world, 'a'), Equals(both))
    issuer = world.leader.issuer
    moves = [_withdraw('a', _ENGINE), _withdraw('a', 'engine-2')]
    ledger = issuer.fork_ledger()
    world.perform(
        issuer.issue_moves(moves, ledger, world.is_in_force, world.now)
    )
    one = [CopyState.serving, CopyState.withdrawing]
    assert_that(_states(world, 'a'), Equals(one))
    for _ in range(60):
        world.step(1.0, lag=True)
        assert_that(_unloads(world), HasLength(0))
    for _ in range(4):
        world.step(1.0)
    assert_that(_unloads(world), Equals(['a']))


def test_copy_stays_until_entries_know_the_other_one() -> None:
    world = _settled()
    world.put(model('a', 50, '2'))
    while len(_states(world, 'a')) < 2:
        world.play_round(0.5, lag=True)
    for _ in range(20):
        world.step(1.0, lag=True)
    both = [CopyState.serving, CopyState.serving]
    assert_that(_states(world, 'a'), Equals(both))
    for _ in range(3):
        world.step(1.0)
    one = [CopyState.serving, CopyState.withdrawing]
    assert_that(_states(world, 'a'), Equals(one))


def test_withdrawn_copy_serves_again_when_the_other_is_lost() -> None:
    world = _settled(copies=2)
    for _ in range(20):
        world.play_round(1.0)
    issuer = world.leader.issuer
    move = _withdraw('a', _ENGINE)
    ledger = issuer.fork_ledger()
    world.perform(
        issuer.issue_moves([move], ledger, world.is_in_force, world.now)
    )
    world.restart('engine-2', keep=False)
    for _ in range(4):
        world.step(1.0, lag=True)
    assert_that(_states(world, 'a'), Equals([CopyState.serving]))


@given(st.integers(1, 12), st.booleans())
def test_leader_change_in_mid_upgrade_loses_nothing(
    rounds: int,
    answers: bool,
) -> None:
    world = _settled()
    world.put(model('a', 50, '2'))
    for _ in range(rounds):
        world.step(0.5)
        while world.network:
            world.deliver(0, answers=answers)
        for each in world.engines.values():
            world.begin(each)
        assert world.serves('a')
    world.elect()
    assert_that(world.heal(rounds=200), Equals(True))
    for _ in range(80):
        world.play_round(1.0)
        assert world.serves('a')
    versions = {key[1] for key in world.machine.state.copies if key[0] == 'a'}
    assert_that(versions, Equals({'2'}))
    assert_that(world.count_overcommits(), Equals(0))
    assert_that(len(world.load_sends) > SETTINGS.loads_at_once, Equals(True))
