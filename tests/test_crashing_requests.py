"""Requests that crash upstreams are kept from them; sound ones are not."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from tests.crashing_fleet import CrashingFleet

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


def _check_few_arrivals(fleet: CrashingFleet, part: str = _BAD) -> None:
    assert_that(len(fleet.crashes.get(part, [])), GreaterThan(0))
    assert_that(fleet.count_late_arrivals(part), LessThan(4))


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
