"""Which builds have served outlives all processes, in virtual time.

Guards against streams that are joined from two software versions, or refused,
after processes were lost that knew which versions had served (review/6).
"""

import asyncio
import random
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import Command, ControlStateMachine
from persimmonhold.forwarding import FleetRunner
from persimmonhold.forwarding._build_log import BuildLog
from persimmonhold.streams import (
    STREAM_LIFE_S,
    BuildHistory,
    BuildPlanner,
    SeenBuild,
    ServedBuilds,
)
from tests.fleet_builders import make_listed
from tests.limited_fleet import LimitedFleet
from tests.version_fleet import (
    NEW,
    OLD,
    Runner,
    Scenario,
    find_origins,
    release,
    run_versions,
    wait_for_leader,
)

_BUILDS = ('v1', 'v2', 'v3')


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Runner:
    """Run a scenario that begins with one version."""

    def run(scenario: Scenario) -> None:
        fleet = LimitedFleet(5, tmp_path, monkeypatch)
        run_in_virtual_time(run_versions(fleet, scenario, 'v1'))

    return run


@pytest.mark.parametrize('wiped', ['', 'vm1'])
@pytest.mark.parametrize('restarts', [1, 2])
def test_unknown_stream_goes_on_nowhere_after_all_have_restarted(
    run_fleet: Runner, restarts: int, wiped: str
) -> None:
    """Streams of a version that had just left went on at the one left."""

    async def scenario(fleet: LimitedFleet) -> None:
        await release(fleet)
        for _ in range(restarts):
            await fleet.restart_all(wiped)
            await wait_for_leader(fleet)
        assert_that(await find_origins(fleet), Equals({None}))
        await asyncio.sleep(STREAM_LIFE_S)
        assert_that(await find_origins(fleet), Equals({NEW}))

    run_fleet(scenario)


@pytest.mark.parametrize('wiped', ['', 'vm1'])
def test_unknown_stream_goes_on_at_once_where_one_version_alone_served(
    run_fleet: Runner, wiped: str
) -> None:
    """A restart of all processes must not cost all streams."""

    async def scenario(fleet: LimitedFleet) -> None:
        await fleet.restart_all(wiped)
        await wait_for_leader(fleet)
        assert_that(await find_origins(fleet), Equals({OLD}))

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_leader_and_all_entries_are_lost_while_one_version_leaves(
    run_fleet: Runner, fault: str
) -> None:
    """No VM that knows of the version is left, but the control log is."""

    async def scenario(fleet: LimitedFleet) -> None:
        await release(fleet)
        disturbed = asyncio.create_task(fleet.disturb_leader(fault))
        fleet.restart_entries()
        await asyncio.sleep(0.1)
        assert_that(await find_origins(fleet), Equals({None}))
        await disturbed
        assert_that(await find_origins(fleet), Equals({None}))

    run_fleet(scenario)


def test_upstream_is_not_used_before_its_version_is_recorded(
    run_fleet: Runner,
) -> None:
    """A stream would begin at a version that the next leader cannot know."""

    async def scenario(fleet: LimitedFleet) -> None:
        leader = fleet.leader_name
        others = set(fleet.system.control_names) - {leader}
        fleet.system.network.partition({leader}, others)
        fleet.set_version('v2', 'u1')
        for _ in range(100):
            await asyncio.sleep(0.02)
            _check_versions_in_use(fleet.runners[leader])
        fleet.system.network.blocked_links.clear()
        await wait_for_leader(fleet)
        for services in fleet.services.values():
            trackers = services.hub.dispatcher.chooser.trackers
            assert_that(trackers['u1'].facts.build, Equals('v2'))

    run_fleet(scenario)


def _check_versions_in_use(runner: FleetRunner) -> None:
    """Check that entries are told of upstreams of recorded versions alone."""
    if runner.term is None:
        return
    recorded = runner.origin_server.build_log.find_recorded('models')
    assert recorded is not None
    for facts in runner.term.controller.facts.by_upstream.values():
        assert_that(recorded.builds, Contains(facts.build))


def _happens(rng: random.Random) -> bool:
    """Tell whether something rare happens at a list, once in 40."""
    return not rng.randrange(40)


@given(st.randoms(use_true_random=False))
def test_record_has_all_builds_that_may_have_streams(
    rng: random.Random,
) -> None:
    """Builds come and go, leaders change, and lists are missed at times.

    Upstreams are used only if their build is recorded.
    """
    histories = [BuildHistory() for _ in range(3)]
    recorded: dict[str, ServedBuilds] = {}
    served_at: dict[str, float] = {}
    planner = BuildPlanner(histories[0], ())
    serving = {'v1'}
    for step in range(rng.randint(1, 400)):
        now = step / 2
        if _happens(rng):
            serving ^= {rng.choice(_BUILDS)}
        if _happens(rng):
            history = rng.choice([*histories, BuildHistory()])
            planner = BuildPlanner(history, recorded)
        if _happens(rng):
            continue
        planner.history.record_serving(
            (('models', one) for one in sorted(serving)), now, now
        )
        recorded = planner.plan(recorded, ('models',), now)
        record = recorded['models']
        served_at.update(
            dict.fromkeys(serving.intersection(record.builds), now)
        )
        may_have_streams = {
            build
            for build, at in served_at.items()
            if now - at <= STREAM_LIFE_S
        }
        assert_that(record.is_complete, Equals(True))
        assert_that(may_have_streams - set(record.builds), Equals(set[str]()))


def test_build_is_removed_once_a_leader_has_not_seen_it_for_a_stream_life() -> (
    None
):
    """A record that only grows would refuse streams for ever."""
    history = BuildHistory()
    recorded = {'models': ServedBuilds('models', ('v1', 'v2'), True)}
    planner = BuildPlanner(history, ('models',))
    for step in range(100):
        history.record_serving((('models', 'v2'),), step, step)
        recorded = planner.plan(recorded, ('models',), step)
        expected = ('v2',) if step > STREAM_LIFE_S else ('v1', 'v2')
        assert_that(recorded['models'].builds, Equals(expected))


@pytest.mark.parametrize('observed_s', [0, STREAM_LIFE_S])
def test_incomplete_record_is_completed_by_an_entry_that_has_observed(
    observed_s: float,
) -> None:
    history = BuildHistory()
    planner = BuildPlanner(history, ('models',))
    history.record_serving((('models', 'v1'),), 0, 0)
    first = planner.plan({}, ('models',), 0)
    assert_that(first['models'].is_complete, Equals(False))
    history.record_reported((SeenBuild('models', 'v1', 0),), observed_s, 0.5)
    told = planner.plan(first, ('models',), 0.5)
    assert_that(told['models'].is_complete, Equals(observed_s > 0))


def test_service_that_gets_its_first_route_has_no_streams_of_before() -> None:
    planner = BuildPlanner(BuildHistory(), ('other',))
    planned = planner.plan({}, ('other', 'models'), 0)
    assert_that(planned['models'].is_complete, Equals(True))
    assert_that(planned['other'].is_complete, Equals(False))


class _StuckNode:
    """Leads, and commits nothing."""

    def __init__(self) -> None:
        self.state = ControlStateMachine().state
        self.term = 1
        self.is_leader = True

    async def propose(self, command: Command) -> None:
        await asyncio.Event().wait()

    def now_ms(self) -> int:
        return 1


def test_upstreams_stay_in_use_while_their_service_is_not_recorded() -> None:
    """A new leader after an earlier build must not take them from entries."""

    async def scenario() -> None:
        node = cast(Any, _StuckNode())
        history = BuildHistory()
        log = BuildLog(node, history)
        log.term = 1
        listed = (make_listed('u1'),)
        history.record_serving((('models', ''),), 0, 0)
        await log.record_builds(0)
        assert_that(log.select_recorded(listed), Equals(None))
        recorded = ServedBuilds('models', ('v1',), True)
        node.state.streams.builds['models'] = recorded
        newer = msgspec.structs.replace(listed[0], software_version='v2')
        assert_that(log.select_recorded((*listed, newer)), Equals(listed))

    run_in_virtual_time(scenario())
