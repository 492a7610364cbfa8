"""Tests that entries together do not overrun upstreams that are brittle."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from tests.brittle_fleet import BrittleFleet

Scenario = Callable[[BrittleFleet], Awaitable[None]]
_WORK_S = 0.2  # of a plain service; that of a generated response is longer


@pytest.fixture
def run_fleet(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Callable[..., None]:
    async def run_scenario(
        scenario: Scenario, entries: int, seed: int, slots: int, work_s: float
    ) -> None:
        async with BrittleFleet(
            entries, tmp_path, monkeypatch, seed, slots=slots, work_s=work_s
        ) as fleet:
            await scenario(fleet)

    def run(
        scenario: Scenario,
        entries: int,
        seed: int = 1,
        slots: int = 6,
        work_s: float = _WORK_S,
    ) -> None:
        run_in_virtual_time(
            run_scenario(scenario, entries, seed, slots, work_s)
        )

    return run


def _assert_few_falls(fleet: BrittleFleet) -> None:
    assert_that(fleet.fall_count, LessThan(fleet.allowed_falls + 0.001))


async def _become_brittle(
    fleet: BrittleFleet, refusals_per_s: float, load: float
) -> None:
    """Send requests, and have upstreams state that they are brittle."""
    fleet.send_requests(load * fleet.capacity_per_s)
    await asyncio.sleep(1)
    fleet.make_brittle(refusals_per_s)
    await asyncio.sleep(3.5)


@pytest.mark.parametrize(
    ('entries', 'refusals_per_s', 'load', 'seed', 'slots', 'work_s'),
    [
        (7, 0, 0.9, 1, 6, _WORK_S),
        (7, 1, 1.3, 2, 12, 0.25),
        (65, 0, 1.3, 3, 6, _WORK_S),
    ],
)
def test_entries_together_do_not_have_brittle_upstreams_fall_over(
    run_fleet: Callable[..., None],
    entries: int,
    refusals_per_s: float,
    load: float,
    seed: int,
    slots: int,
    work_s: float,
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        await _become_brittle(fleet, refusals_per_s, load)
        since = fleet.now
        await asyncio.sleep(2.5)
        used = fleet.count_answered(since) / 2.5 / fleet.capacity_per_s
        _assert_few_falls(fleet)
        # The upstreams are used, not only spared.
        assert_that(used, GreaterThan(0.6 * min(load, 1)))

    run_fleet(scenario, entries, seed, slots, work_s)


@pytest.mark.parametrize(('entries', 'fault'), [(7, 'kill'), (7, 'cut')])
def test_brittle_upstreams_last_while_the_leader_of_control_changes(
    run_fleet: Callable[..., None], entries: int, fault: str
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        await _become_brittle(fleet, 1, 1)
        await fleet.disturb_leader(fault)
        since = fleet.now
        await asyncio.sleep(2)
        used = fleet.count_answered(since) / 2 / fleet.capacity_per_s
        _assert_few_falls(fleet)
        assert_that(used, GreaterThan(0.5))

    run_fleet(scenario, entries)


def test_brittle_upstreams_last_while_entries_are_cut_off_from_control(
    run_fleet: Callable[..., None],
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        await _become_brittle(fleet, 1, 0.9)
        await fleet.disturb(set(fleet.entries[:2]), 'cut')
        _assert_few_falls(fleet)

    run_fleet(scenario, 7)


def test_restarted_entries_do_not_have_brittle_upstreams_fall_over(
    run_fleet: Callable[..., None],
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        await _become_brittle(fleet, 1, 1)
        for name in fleet.entries[:3]:
            await fleet.system.restart(name)
            fleet.start_entry(name)
        await asyncio.sleep(2)
        _assert_few_falls(fleet)

    run_fleet(scenario, 7)


def test_sound_upstreams_beside_a_brittle_one_are_used_in_full(
    run_fleet: Callable[..., None],
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        for one in fleet.brittle.values():
            one.states = one.name == 'b0'
        await _become_brittle(fleet, 0, 1)
        asked = [
            tracker.facts.name
            for services in fleet.services.values()
            for tracker in services.hub.dispatcher.chooser.trackers.values()
            if tracker.fullness.brittleness.per_s is not None
        ]
        assert_that(set(asked), Equals({'b0'}))
        assert_that(len(fleet.brittle['b0'].falls), Equals(0))

    run_fleet(scenario, 7)


def test_upstreams_that_no_longer_state_it_need_no_slots(
    run_fleet: Callable[..., None],
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        await _become_brittle(fleet, 1, 0.8)
        fleet.make_brittle(None)
        await asyncio.sleep(4)
        brittle = [
            tracker.facts.name
            for services in fleet.services.values()
            for tracker in services.hub.dispatcher.chooser.trackers.values()
            if tracker.fullness.brittleness.per_s is not None
        ]
        assert_that(brittle, Equals([]))

    run_fleet(scenario, 7)


def test_restarted_upstream_is_expected_to_be_brittle_until_it_answers(
    run_fleet: Callable[..., None],
) -> None:
    async def scenario(fleet: BrittleFleet) -> None:
        await _become_brittle(fleet, 0, 1.2)
        fleet.brittle['b0'].fall(fleet.now)
        await asyncio.sleep(5)
        answered = fleet.brittle['b0'].answered
        assert_that(max(answered), GreaterThan(fleet.now - 1))
        # The one above is no consequence of refusals.
        assert_that(fleet.fall_count, Equals(1))

    run_fleet(scenario, 7)
