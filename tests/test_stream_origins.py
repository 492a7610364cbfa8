"""Entries learn from each other where streams began, in virtual time."""

import asyncio
import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from bench.memory_system import wait_until
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    RequestProfile,
    WantedCopy,
)
from persimmonhold.streams import (
    STREAM_LIFE_S,
    SeenBuild,
    ServedBuilds,
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
)
from persimmonhold.streams._stream_registry import StreamRegistry
from tests.fleet_builders import make_route
from tests.limited_fleet import LimitedFleet
from tests.version_fleet import (
    NEW,
    OLD,
    Runner,
    Scenario,
    find_origins,
    release,
    run_versions,
)

_REPORT_S = 0.3  # until the fleet controller has a report
_LOST_REPORTS_S = 0.5
_HELD_UP_S = 0.7  # of an entry on a busy machine, as seen in a soak


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Runner:
    def run(scenario: Scenario) -> None:
        fleet = LimitedFleet(7, tmp_path, monkeypatch)
        run_in_virtual_time(run_versions(fleet, scenario, 'v1'))

    return run


def _begin_stream(fleet: LimitedFleet, entry: str, request_id: str) -> None:
    """Have the first event of a stream come from an upstream of `u1`."""
    hub = fleet.services[entry].hub
    request = DispatchRequest(
        number=0,
        service='models',
        route=make_route(resumable=True),
        profile=RequestProfile(request_id=request_id),
        arrived_at=fleet.now,
        due_at=fleet.now,
        caller_waits_until=fleet.now,
        ends_at=fleet.now,
    )
    facts = hub.dispatcher.chooser.trackers['u1'].facts
    hub.streams.record_begun(request, facts)


async def _restart_entries(fleet: LimitedFleet) -> None:
    """Restart all entries at once, and wait until they have joined."""
    fleet.restart_entries()
    await asyncio.sleep(1)


def test_all_entries_know_where_a_stream_began(run_fleet: Runner) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        _begin_stream(fleet, fleet.entries[0], 's1')
        await asyncio.sleep(_REPORT_S)
        await release(fleet)
        assert_that(await find_origins(fleet, 's1'), Equals({OLD}))

    run_fleet(scenario)


def test_streams_are_known_after_all_entries_have_restarted(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        for number, entry in enumerate(fleet.entries):
            _begin_stream(fleet, entry, f's{number}')
        await asyncio.sleep(_REPORT_S)
        await release(fleet)
        await _restart_entries(fleet)
        for number, _ in enumerate(fleet.entries):
            found = await find_origins(fleet, f's{number}')
            assert_that(found, Equals({OLD}))

    run_fleet(scenario)


def test_stream_goes_on_at_an_entry_that_is_held_up_as_it_asks(
    run_fleet: Runner,
) -> None:
    """A caller without a further try lost its stream by the refusal."""

    async def scenario(fleet: LimitedFleet) -> None:
        _begin_stream(fleet, fleet.entries[0], 's1')
        await asyncio.sleep(_REPORT_S)
        await release(fleet)
        entry = fleet.entries[1]
        client = fleet.services[entry].fleet_client
        fleet.system.network.pause(entry)
        async with asyncio.TaskGroup() as group:
            asked = group.create_task(client.find_stream_origin('models', 's1'))
            await asyncio.sleep(_HELD_UP_S)
            fleet.system.network.resume(entry)
        assert_that(asked.result(), Equals(OLD))

    run_fleet(scenario)


def test_unknown_stream_goes_on_nowhere_when_a_version_has_just_left(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        assert_that(await find_origins(fleet, 'lost'), Equals({OLD}))
        await release(fleet)
        await _restart_entries(fleet)
        for begun_as in ('lost', ''):
            found = await find_origins(fleet, begun_as)
            assert_that(found, Equals({None}))
        await asyncio.sleep(STREAM_LIFE_S)
        assert_that(await find_origins(fleet, 'lost'), Equals({NEW}))

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_new_leader_of_control_learns_where_streams_began(
    run_fleet: Runner, fault: str
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        _begin_stream(fleet, fleet.entries[0], 's1')
        await asyncio.sleep(1)
        await release(fleet)
        await fleet.disturb_leader(fault)
        assert_that(await find_origins(fleet, 's1'), Equals({OLD}))
        assert_that(await find_origins(fleet, 'lost'), Equals({None}))

    run_fleet(scenario)


def test_new_leader_learns_of_streams_though_the_first_reports_are_lost(
    run_fleet: Runner,
) -> None:
    """An entry hears of a new leader after its update; reports go astray.

    Then callers of streams that had broken were refused, though their entry lived.
    """

    async def scenario(fleet: LimitedFleet) -> None:
        entry = fleet.entries[0]
        network = fleet.system.network
        former_term = fleet.services[entry].hub.dispatcher.term
        network.blocked_ways.update(
            (entry, name) for name in fleet.system.control_names
        )
        _begin_stream(fleet, entry, 's1')
        leader = asyncio.create_task(fleet.disturb_leader('kill'))
        hub = fleet.services[entry].hub
        await wait_until(lambda: hub.dispatcher.term > former_term)
        await asyncio.sleep(_LOST_REPORTS_S)
        network.blocked_ways.clear()
        await leader
        await release(fleet)
        assert_that(await find_origins(fleet, 's1'), Equals({OLD}))

    run_fleet(scenario)


def test_stream_that_began_at_a_process_of_unknown_version_is_its_own(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        fleet.upstreams['u1'].software_version = ''
        await asyncio.sleep(1.5)
        _begin_stream(fleet, fleet.entries[0], 's1')
        await asyncio.sleep(_REPORT_S)
        expected = StreamOrigin('models', 'u1@1')
        assert_that(await find_origins(fleet, 's1'), Equals({expected}))

    run_fleet(scenario)


def test_registry_of_streams_is_bounded() -> None:
    registry = StreamRegistry()
    for number in range(70_000):
        registry.record(f's{number}', OLD, number / 10_000)
    assert_that(len(registry.begun), LessThan(65_537))
    assert_that(registry.find_origin('s69999', 7), Equals(OLD))
    registry.record('late', NEW, 7 + 2 * STREAM_LIFE_S)
    assert_that(len(registry.begun), Equals(1))


@given(
    st.lists(
        st.tuples(
            st.integers(0, 60),
            st.sampled_from(['v1', 'v2', 'v3']),
            st.booleans(),
        ),
        max_size=20,
    ),
    st.sets(st.sampled_from(['v1', 'v2', 'v3'])),
    st.booleans(),
    st.randoms(use_true_random=False),
)
def test_unknown_stream_is_of_a_build_only_if_no_other_served(
    observed: list[tuple[int, str, bool]],
    recorded: set[str],
    is_complete: bool,
    rng: random.Random,
) -> None:
    origins = StreamOrigins()
    now = 60.0
    rng.shuffle(observed)
    for age_s, build, is_reported in sorted(observed, key=lambda one: -one[0]):
        if is_reported:
            seen = SeenBuild('models', build, age_s)
            origins.record_reported((), (seen,), 0, now)
        else:
            observed_at = now - age_s
            origins.builds.record_serving(
                (('models', build),), observed_at, observed_at
            )
    lately = {one[1] for one in observed if one[0] <= STREAM_LIFE_S}
    lately.update(recorded)
    expected = StreamOrigin('models', *lately) if len(lately) == 1 else None
    builds = ServedBuilds('models', tuple(recorded), is_complete=is_complete)
    record = StreamRecord((builds,))
    found = origins.find_origin('lost', 'models', record, now)
    assert_that(found, Equals(expected if is_complete else None))
    unrecorded = origins.find_origin('lost', 'models', None, now)
    assert_that(unrecorded, Equals(None))


def test_entry_reports_the_copy_that_a_taken_up_stream_waits_for(
    run_fleet: Runner,
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        hub = fleet.services[fleet.entries[0]].hub
        request = DispatchRequest(
            number=1,
            service='models',
            route=make_route(resumable=True),
            profile=RequestProfile(request_id='r1', model='m1'),
            arrived_at=fleet.now,
            due_at=fleet.now + 1,
            caller_waits_until=fleet.now + 3,
            ends_at=fleet.now + 3,
            is_engine=True,
            build='v1',
        )
        waiting = hub.submit_request(request)
        copy = WantedCopy('models', 'm1', 'v1')
        report = hub.build_report()
        assert_that(report.wanted, Equals((copy,)))
        assert_that([one.waiting for one in report.demand], Equals([0]))
        waiting.cancel()
        hub.finish_request(1, AttemptEnd.cancelled)
        assert_that(hub.build_report().wanted, Equals(()))

    run_fleet(scenario)
