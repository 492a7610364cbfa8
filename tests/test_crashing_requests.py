"""Requests that crash upstreams are kept from them; sound ones are not."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.memory_system import wait_until
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.routes import RouteKind
from persimmonhold.web import find_header
from tests.crashing_fleet import FIRST_PART, CrashingFleet
from tests.fleet_builders import make_route

Scenario = Callable[[CrashingFleet], Awaitable[None]]
Runner = Callable[[int, int, Scenario], None]
_LARGEST_FLEET = 86  # entries
_BAD = 'bad'
_SETTLING_S = 6.0  # twice the time after which a VM counts as in touch


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Runner:
    async def run_scenario(
        entries: int, upstreams: int, scenario: Scenario
    ) -> None:
        async with CrashingFleet(
            entries, upstreams, tmp_path, monkeypatch
        ) as fleet:
            await scenario(fleet)

    def run(entries: int, upstreams: int, scenario: Scenario) -> None:
        run_in_virtual_time(run_scenario(entries, upstreams, scenario))

    return run


def _check_few_arrivals(
    fleet: CrashingFleet, part: str = _BAD, settled_at: float = 0
) -> None:
    assert_that(len(fleet.crashes.get(part, [])), GreaterThan(0))
    assert_that(fleet.count_late_arrivals(part, settled_at), LessThan(4))
    for entry in fleet.entries:
        assert_that(fleet.is_refused(entry, (part, 'own')), Equals(True))


async def _start_load(fleet: CrashingFleet) -> None:
    """Start sound requests, and later those that crash upstreams."""
    fleet.send_sound_requests(40)
    await asyncio.sleep(10)
    fleet.send_bad_requests(_BAD, 1)


async def _check_sound_requests_begin(
    fleet: CrashingFleet, usual_per_s: float
) -> None:
    await asyncio.sleep(_SETTLING_S)
    since = fleet.now
    await asyncio.sleep(5)
    begun_per_s = fleet.count_begun(since, fleet.now) / 5
    assert_that(begun_per_s, GreaterThan(usual_per_s / 2))
    statuses = {one.status for at, one in fleet.sound if at > since}
    assert_that(statuses, Equals({200}))


@pytest.mark.parametrize(
    ('entries', 'upstreams', 'per_s', 'bad_per_s', 'place'),
    [
        pytest.param(7, 9, 40, 1, 1, id='seven-entries'),
        pytest.param(7, 9, 40, 1, 0, id='first-part'),
        pytest.param(7, 9, 40, 8, 2, id='many-at-once'),
        pytest.param(7, 9, 40, 0.3, 1, id='few'),
        pytest.param(_LARGEST_FLEET, 30, 120, 2, 1, id='largest-fleet'),
    ],
)
def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them(
    run_fleet: Runner,
    entries: int,
    upstreams: int,
    per_s: float,
    bad_per_s: float,
    place: int,
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        fleet.send_sound_requests(per_s)
        await asyncio.sleep(10)
        usual = fleet.count_begun(fleet.now - 5, fleet.now) / 5
        fleet.send_bad_requests(_BAD, bad_per_s, place)
        await asyncio.sleep(10 + 6 / bad_per_s)
        await _check_sound_requests_begin(fleet, usual)
        _check_few_arrivals(fleet)

    run_fleet(entries, upstreams, scenario)


def test_two_parts_that_crash_upstreams_are_both_kept_away(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        fleet.send_sound_requests(40)
        await asyncio.sleep(10)
        fleet.send_bad_requests('bad1', 1)
        fleet.send_bad_requests('bad2', 1, place=2)
        await asyncio.sleep(15)
        await _check_sound_requests_begin(fleet, 35)
        _check_few_arrivals(fleet, 'bad1')
        _check_few_arrivals(fleet, 'bad2')

    run_fleet(7, 9, scenario)


def test_resumable_requests_that_crash_upstreams_are_not_sent_on_and_on(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        fleet.route = make_route(RouteKind.stream, resumable=True, attempts=2)
        await _start_load(fleet)
        await asyncio.sleep(12)
        await _check_sound_requests_begin(fleet, 35)
        _check_few_arrivals(fleet)
        said_not_run = {
            one.request_id for _, one in fleet.bad if one.status == 503
        }
        assert_that(said_not_run & fleet.arrived_ids, Equals(set()))

    run_fleet(7, 9, scenario)


def test_requests_with_a_quarantined_part_are_refused_at_once(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        fleet.send_sound_requests(40)
        await asyncio.sleep(10)
        fleet.send_bad_requests(_BAD, 2)
        await asyncio.sleep(12)
        since = fleet.now
        arrived = len(fleet.bad_arrivals)
        await asyncio.sleep(5)
        refused = [one for at, one in fleet.bad if at > since]
        assert_that(len(refused), GreaterThan(3))
        assert_that({one.status for one in refused}, Equals({503}))
        assert_that(max(one.waited_s for one in refused), LessThan(0.01))
        for one in refused:
            left_s = float(find_header(one.headers, 'retry-after'))
            assert_that(left_s, GreaterThan(500))
        assert_that(len(fleet.bad_arrivals), Equals(arrived))

    run_fleet(7, 9, scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_evidence_outlives_the_leader_of_control(
    run_fleet: Runner, fault: str
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        await _start_load(fleet)
        await wait_until(lambda: len(fleet.crashes.get(_BAD, [])) > 1)
        await fleet.disturb_leader(fault)
        settled_at = fleet.now
        await asyncio.sleep(12)
        _check_few_arrivals(fleet, settled_at=settled_at)
        await _check_sound_requests_begin(fleet, 35)

    run_fleet(7, 9, scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_quarantine_outlives_the_leader_of_control(
    run_fleet: Runner, fault: str
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        await _start_load(fleet)
        await wait_until(fleet.has_quarantine)
        await asyncio.sleep(1)
        arrived = len(fleet.bad_arrivals)
        await fleet.disturb_leader(fault)
        await fleet.restart_entry(fleet.entries[0])
        await asyncio.sleep(10)
        assert_that(len(fleet.bad_arrivals), LessThan(arrived + 2))
        _check_few_arrivals(fleet)

    run_fleet(7, 9, scenario)


@pytest.mark.parametrize('fault', ['restart', 'cut', 'pause'])
def test_fault_of_an_entry_between_the_crashes_does_not_hide_the_part(
    run_fleet: Runner, fault: str
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        await _start_load(fleet)
        await wait_until(lambda: len(fleet.crashes.get(_BAD, [])) > 1)
        entry = fleet.bad_arrivals[0][2]
        if fault == 'restart':
            await fleet.restart_entry(entry)
        else:
            await fleet.disturb({entry}, fault)
        settled_at = fleet.now
        await asyncio.sleep(12)
        _check_few_arrivals(fleet, settled_at=settled_at)
        await _check_sound_requests_begin(fleet, 35)

    run_fleet(7, 9, scenario)


def test_crashes_that_have_nothing_to_do_with_a_prompt_refuse_nobody(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        fleet.send_sound_requests(40)
        await asyncio.sleep(5)
        for _ in range(3):
            fleet.crash_all()
            await asyncio.sleep(8)
        for _ in range(20):
            fleet.rng.choice(list(fleet.engines.values())).crash()
            await asyncio.sleep(1.5)
        assert_that(fleet.has_quarantine(), Equals(False))

    run_fleet(7, 9, scenario)


def test_sound_part_that_came_with_every_crash_is_not_refused_alone(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: CrashingFleet) -> None:
        fleet.send_sound_requests(40)
        await asyncio.sleep(10)
        fleet.send_bad_requests(_BAD, 1, shared_part='rare')
        await asyncio.sleep(15)
        for entry in fleet.entries:
            bad = (FIRST_PART, 'rare', _BAD, 'own')
            assert_that(fleet.is_refused(entry, bad), Equals(True))
            sound = (FIRST_PART, 'rare', 'own')
            assert_that(fleet.is_refused(entry, sound), Equals(False))

    run_fleet(7, 9, scenario)
