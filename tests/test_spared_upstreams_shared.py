"""Several entries whose upstreams state that they want no new requests."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from bench.memory_system import wait_until
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.fleet import FleetController
from tests.fleet_builders import make_document, make_listed
from tests.limited_fleet import LimitedFleet

Scenario = Callable[[LimitedFleet], Awaitable[None]]
_PER_S = 80  # requests of all entries together
_SPARED_S = 4.0
# Virtual time in which all entries have heard what one of them has seen.
_SHARED_S = 0.5


@pytest.fixture
def run_fleet(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Callable[[Scenario], None]:
    async def run_scenario(scenario: Scenario) -> None:
        async with LimitedFleet(7, tmp_path, monkeypatch) as fleet:
            fleet.send_requests(_PER_S)
            await asyncio.sleep(3)
            await scenario(fleet)

    def run(scenario: Scenario) -> None:
        run_in_virtual_time(run_scenario(scenario))

    return run


def test_entry_sends_nothing_once_it_has_seen_that_an_upstream_leaves(
    run_fleet: Callable[[Scenario], None],
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.tells_leaving_to = set(fleet.entries)
        await asyncio.sleep(10)
        assert_that(len(upstream.leaving_told_at), GreaterThan(0))
        late = upstream.count_after(upstream.leaving_told_at, 10)
        assert_that(late, Equals(0))
        assert_that({one.status for one in fleet.exchanges}, Equals({200}))

    run_fleet(scenario)


def test_all_entries_learn_what_one_of_them_has_seen(
    run_fleet: Callable[[Scenario], None],
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.tells_leaving_to = {fleet.entries[0]}
        await wait_until(lambda: bool(upstream.leaving_told_at))
        told_at = min(upstream.leaving_told_at.values())
        await asyncio.sleep(6)
        late = upstream.count_arrivals(told_at + _SHARED_S, fleet.now)
        assert_that(late, Equals(0))

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['cut', 'pause'])
def test_entry_out_of_touch_keeps_what_it_has_seen(
    run_fleet: Callable[[Scenario], None], fault: str
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        apart = set(fleet.entries[:3])
        disturbed = asyncio.create_task(fleet.disturb(apart, fault))
        await asyncio.sleep(0.5)
        upstream.tells_leaving_to = apart
        await disturbed
        await asyncio.sleep(4)
        assert_that(len(upstream.leaving_told_at), GreaterThan(0))
        late = upstream.count_after(upstream.leaving_told_at, 10)
        assert_that(late, Equals(0))

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_leave_is_kept_while_the_leader_of_control_changes(
    run_fleet: Callable[[Scenario], None], fault: str
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.tells_leaving_to = {fleet.entries[0]}
        await wait_until(lambda: bool(upstream.leaving_told_at))
        await asyncio.sleep(1)
        since = fleet.now
        await fleet.disturb_leader(fault)
        await asyncio.sleep(6)
        late = upstream.count_after(upstream.leaving_told_at, 20)
        assert_that(late, Equals(0))
        # The others only have the word of the controller.
        late = upstream.count_arrivals(since + 7, fleet.now)
        assert_that(late, Equals(0))

    run_fleet(scenario)


def test_restarted_entry_learns_it_from_control(
    run_fleet: Callable[[Scenario], None],
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.tells_leaving_to = set(fleet.entries)
        await asyncio.sleep(3)
        name = fleet.entries[0]
        upstream.tells_leaving_to.discard(name)
        await fleet.system.restart(name)
        fleet.start_entry(name)
        restarted_at = fleet.now
        await asyncio.sleep(4)
        late = upstream.count_arrivals(restarted_at + 1, fleet.now)
        assert_that(late, Equals(0))
        chooser = fleet.services[name].hub.dispatcher.chooser
        is_available = chooser.trackers['u1'].is_available(fleet.now)
        assert_that(is_available, Is(False))

    run_fleet(scenario)


def test_process_that_replaces_a_leaving_one_is_served(
    run_fleet: Callable[[Scenario], None],
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.tells_leaving_to = set(fleet.entries)
        await asyncio.sleep(3)
        upstream.tells_leaving_to = set()
        upstream.born_ms = 2
        replaced_at = fleet.now
        await asyncio.sleep(4)
        used = upstream.count_arrivals(replaced_at + 1, fleet.now)
        assert_that(used, GreaterThan(40))

    run_fleet(scenario)


def test_entry_keeps_the_time_for_which_it_was_turned_away(
    run_fleet: Callable[[Scenario], None],
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.turned_away_s = _SPARED_S
        await asyncio.sleep(_SPARED_S - 0.5)
        upstream.turned_away_s = None
        assert_that(len(upstream.turned_away_at), GreaterThan(3))
        ended_at = fleet.now
        await asyncio.sleep(_SPARED_S + 6)
        early = upstream.count_after(upstream.turned_away_at, _SPARED_S)
        assert_that(early, Equals(0))
        used = upstream.count_arrivals(ended_at + _SPARED_S, fleet.now)
        assert_that(used, GreaterThan(0))
        assert_that({one.status for one in fleet.exchanges}, Equals({200}))

    run_fleet(scenario)


def test_callers_are_refused_at_once_while_all_upstreams_turn_them_away(
    run_fleet: Callable[[Scenario], None],
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        for upstream in fleet.upstreams.values():
            upstream.turned_away_s = 30.0
        await asyncio.sleep(2)
        closed_at = fleet.now
        before = len(fleet.exchanges)
        await asyncio.sleep(5)
        later = fleet.exchanges[before:]
        assert_that(len(later), GreaterThan(300))
        assert_that({one.status for one in later}, Equals({503}))
        assert_that(max(one.waited_s for one in later), LessThan(0.1))
        for closed in fleet.upstreams.values():
            sent = closed.count_arrivals(closed_at, fleet.now)
            assert_that(sent, Equals(0))

    run_fleet(scenario)


def _controller() -> FleetController:
    controller = FleetController(1, 0.0)
    controller.apply_routes(make_document())
    controller.apply_list((make_listed('u1'), make_listed('u2')), 0.0)
    return controller


def _state_leaving(
    controller: FleetController, upstream: str, now: float
) -> tuple[str, ...]:
    """Have an entry report what the first process of an upstream stated."""
    return controller.facts.record_stated_leaving(((upstream, 1),), (0.1,), now)


def test_controller_plans_for_it_as_for_one_that_the_list_shows() -> None:
    controller = _controller()
    assert_that(_state_leaving(controller, 'u1', 0.5), Equals(('u1',)))
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Is(True))
    controller.apply_list((make_listed('u1'), make_listed('u2')), 1.0)
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Is(True))
    assert_that(_state_leaving(controller, 'u1', 1.5), Equals(()))
    controller.apply_list((make_listed('u1', born_ms=2),), 2.0)
    assert_that(controller.facts.by_upstream['u1'].is_leaving, Is(False))
    assert_that(_state_leaving(controller, 'u1', 2.5), Equals(()))
    assert_that(_state_leaving(controller, 'u9', 2.5), Equals(()))
