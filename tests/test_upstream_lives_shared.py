"""Upstreams of unknown start that restart, with all entries and control.

Guards against plain services that are never used again after their upstreams
were replaced one after the other under their names (review/9).
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from bench.virtual_loop import run_in_virtual_time
from tests.limited_fleet import LimitedFleet, LimitedUpstream

Scenario = Callable[[LimitedFleet], Awaitable[None]]
Runner = Callable[[Scenario], None]
_PER_S = 80
_LIST_LAG_S = 0.8
_DRAIN_S = 3.2


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Runner:
    async def run_scenario(scenario: Scenario) -> None:
        fleet = LimitedFleet(7, tmp_path, monkeypatch)
        for upstream in fleet.upstreams.values():
            upstream.born_ms = 0
        async with fleet:
            fleet.send_requests(_PER_S)
            await asyncio.sleep(3)
            await scenario(fleet)

    return lambda scenario: run_in_virtual_time(run_scenario(scenario))


async def _drain(
    fleet: LimitedFleet, upstream: LimitedUpstream, told: set[str]
) -> float:
    """Have an upstream leave and restart; return when it did."""
    upstream.leaving_told_at = {}
    upstream.tells_leaving_to = told
    await asyncio.sleep(_LIST_LAG_S)
    upstream.is_listed_leaving = True
    await asyncio.sleep(_DRAIN_S - _LIST_LAG_S)
    late = upstream.count_after(upstream.leaving_told_at, 10)
    assert_that(late, Equals(0))
    upstream.tells_leaving_to = set()
    restarted_at = fleet.now
    await asyncio.sleep(_LIST_LAG_S)
    upstream.is_listed_leaving = False
    return restarted_at


async def _check_used(fleet: LimitedFleet, upstream: LimitedUpstream) -> None:
    """Check that all entries send requests to an upstream again."""
    since = fleet.now
    await asyncio.sleep(6)
    senders = {vm for at, vm in upstream.arrivals if at > since}
    assert_that(senders, Equals(set(fleet.entries)))


@pytest.mark.parametrize('seen_by', [1, 7])
def test_upstreams_are_used_after_each_has_restarted(
    run_fleet: Runner, seen_by: int
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        told = set(fleet.entries[:seen_by])
        for upstream in fleet.upstreams.values():
            await _drain(fleet, upstream, told)
            await asyncio.sleep(1)
        for upstream in fleet.upstreams.values():
            await _check_used(fleet, upstream)

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_upstream_is_used_though_the_leader_changed_as_it_restarted(
    run_fleet: Runner, fault: str
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        drained = asyncio.create_task(
            _drain(fleet, upstream, set(fleet.entries))
        )
        await asyncio.sleep(1.5)
        await fleet.disturb_leader(fault)
        await drained
        await asyncio.sleep(2)
        await _check_used(fleet, upstream)

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['cut', 'pause'])
def test_entry_that_missed_the_restart_uses_the_upstream(
    run_fleet: Runner, fault: str
) -> None:
    """It has seen the statement, and never the list that shows it leaving."""

    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        apart = set(fleet.entries[:2])
        drained = asyncio.create_task(
            _drain(fleet, upstream, set(fleet.entries))
        )
        await asyncio.sleep(0.4)
        assert_that(len(upstream.leaving_told_at), GreaterThan(0))
        await fleet.disturb(apart, fault)
        await drained
        await asyncio.sleep(2)
        await _check_used(fleet, upstream)

    run_fleet(scenario)


def test_leave_is_kept_for_as_long_as_the_upstream_leaves(
    run_fleet: Runner,
) -> None:
    """It may do so for many seconds, and a list may show it late."""

    async def scenario(fleet: LimitedFleet) -> None:
        upstream = fleet.upstreams['u1']
        upstream.tells_leaving_to = set(fleet.entries)
        await asyncio.sleep(_LIST_LAG_S)
        upstream.is_listed_leaving = True
        await asyncio.sleep(20)
        late = upstream.count_after(upstream.leaving_told_at, 30)
        assert_that(late, Equals(0))

    run_fleet(scenario)
