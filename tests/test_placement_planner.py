"""Unattended decisions of the planner."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from persimmonhold.messages import CopyState, LoadReport
from persimmonhold.placement import Place, water_fill
from tests.placement_world import World, engine, model


def _world(*names: str) -> World:
    return World((
        *(engine(f'e{index}', f'd{index}', 100) for index in range(4)),
        *(model(name, 30) for name in names),
    ))


def _run(world: World, rounds: int) -> None:
    for _ in range(rounds):
        world.play_round(1.0)


def _places(world: World, target: str) -> set[str]:
    return {
        copy.upstream
        for copy in world.machine.state.copies.values()
        if copy.target == target and copy.state is CopyState.serving
    }


def _moves(world: World) -> int:
    return sum(
        each.memory.loads + each.memory.unloads
        for each in world.engines.values()
    )


def test_copies_spread_over_failure_domains() -> None:
    world = _world('a', 'b')
    _run(world, 20)
    for name in ('a', 'b'):
        assert_that(_places(world, name), HasLength(2))


def test_steady_demand_brings_no_moves() -> None:
    world = _world('a', 'b', 'c')
    world.demand = {'a': 0.5, 'b': 0.4, 'c': 0.1}
    _run(world, 40)
    before = _moves(world)
    _run(world, 300)
    assert_that(_moves(world), Equals(before))


def test_rising_demand_brings_copies_and_a_reason() -> None:
    world = _world('a', 'b', 'c', 'd', 'e', 'f')
    _run(world, 40)
    before = len(_places(world, 'a'))
    world.demand = {'a': 2.5}
    _run(world, 150)
    assert_that(len(_places(world, 'a')), GreaterThan(before))
    reasons = [each.reason for each in world.leader.planner.find_decisions('a')]
    assert_that(
        ' '.join(reasons), Contains('exceeds the capacity of its copies')
    )


def test_lost_engine_is_replaced_and_taken_back() -> None:
    world = _world('a', 'b', 'c')
    _run(world, 30)
    lost = min(_places(world, 'a'))
    world.engines[lost].is_up = False
    _run(world, 60)
    alive = {name for name, each in world.engines.items() if each.is_up}
    for name in ('a', 'b', 'c'):
        assert_that(len(_places(world, name) & alive), GreaterThan(0))
    assert_that(world.heal(rounds=100), Equals(True))


def test_leaving_engine_is_replaced() -> None:
    world = World((
        engine('e0', 'd0', 100),
        engine('e1', 'd0', 100),
        model('a', 30),
    ))
    _run(world, 20)
    holder = min(_places(world, 'a'))
    report = LoadReport(
        boot_id='boot-1',
        age_ms=0,
        running=1,
        waiting=0,
        slots=8,
        kv_used_fraction=0,
        prefill_tokens_per_second=8000,
        decode_step_ms=20,
        leaving=True,
    )
    for _ in range(30):
        world.leader.record_load_report(holder, report, world.now)
        world.play_round(0.1)
    assert_that(len(_places(world, 'a') - {holder}), Equals(1))


def test_model_without_room_has_a_reason() -> None:
    world = _world('a')
    world.put(model('huge', 200))
    _run(world, 10)
    decision = world.leader.planner.find_decisions('huge')[-1]
    assert_that(decision.is_move, Equals(False))
    assert_that(
        decision.reason, Contains('no accelerator can free enough memory')
    )


@pytest.mark.parametrize(
    ('work', 'loads', 'filled'),
    [
        (0.0, {'x': 0.2}, {}),
        (1.0, {'x': 0.0}, {'x': 1.0}),
        (1.0, {'x': 0.5, 'y': 0.0}, {'x': 0.25, 'y': 0.75}),
        (0.2, {'x': 0.5, 'y': 0.0}, {'y': 0.2}),
    ],
)
def test_work_fills_the_idlest_places_first(
    work: float,
    loads: dict[str, float],
    filled: dict[str, float],
) -> None:
    by_place = {Place(name, 'a0'): load for name, load in loads.items()}
    shares = water_fill(work, by_place)
    assert_that(
        {place.upstream: round(share, 9) for place, share in shares.items()},
        Equals(filled),
    )
