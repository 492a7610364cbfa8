"""Where streams began outlives the processes that know it, in virtual time.

Guards against streams that are refused for good after their entry and the VM
that leads control were lost together while two versions serve (review/7).
"""

import asyncio
import random
from pathlib import Path
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import ControlStateMachine, change_streams
from persimmonhold.control.shell import ControlApplier
from persimmonhold.fleet import DispatchRequest, RequestProfile
from persimmonhold.streams import (
    STREAM_LIFE_S,
    BegunPlanner,
    BegunStream,
    RecordedStreams,
    ServedBuilds,
    StreamChange,
    StreamOrigin,
    StreamRecord,
)
from persimmonhold.streams._stream_record import digest_request_id
from tests.fleet_builders import make_route
from tests.limited_fleet import LimitedFleet
from tests.version_fleet import (
    LIST_S,
    NEW,
    OLD,
    Runner,
    Scenario,
    find_origins,
    run_versions,
    wait_for_leader,
)

_ORIGINS = MappingProxyType({'u1': OLD, 'u2': NEW})
_BOTH = (ServedBuilds('models', ('v1', 'v2'), True),)
_RECORDED_S = 0.6  # until the streams of all entries are reported and recorded


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Runner:
    """Run a scenario with two upstreams of a version each."""

    def run(scenario: Scenario) -> None:
        fleet = LimitedFleet(5, tmp_path, monkeypatch)
        run_in_virtual_time(run_versions(fleet, scenario, 'v1', 'v2'))

    return run


async def _begin_streams(fleet: LimitedFleet) -> None:
    """Have each upstream begin a stream at each entry, which reports it."""
    for entry, services in fleet.services.items():
        for upstream in _ORIGINS:
            profile = RequestProfile(request_id=f'{entry} {upstream}')
            request = DispatchRequest(
                number=0,
                service='models',
                route=make_route(resumable=True),
                profile=profile,
                arrived_at=fleet.now,
                due_at=fleet.now,
                caller_waits_until=fleet.now,
                ends_at=fleet.now,
            )
            trackers = services.hub.dispatcher.chooser.trackers
            services.hub.streams.record_begun(request, trackers[upstream].facts)
    await asyncio.sleep(_RECORDED_S)


async def _check_origins(fleet: LimitedFleet) -> None:
    """Check that all entries know where all streams began."""
    await wait_for_leader(fleet)
    for entry in fleet.entries:
        for upstream, origin in _ORIGINS.items():
            found = await find_origins(fleet, f'{entry} {upstream}')
            assert_that(found, Equals({origin}))


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_streams_go_on_after_entries_and_the_leader_are_lost(
    run_fleet: Runner, fault: str
) -> None:
    """Where they began was known to the entry and the leader alone."""

    async def scenario(fleet: LimitedFleet) -> None:
        await _begin_streams(fleet)
        fleet.restart_entries()
        await fleet.disturb_leader(fault)
        await _check_origins(fleet)

    run_fleet(scenario)


@pytest.mark.parametrize('restarts', [1, 2])
@pytest.mark.parametrize('wiped', ['', 'vm1', 'vm2'])
def test_streams_go_on_after_all_processes_have_restarted(
    run_fleet: Runner, restarts: int, wiped: str
) -> None:
    async def scenario(fleet: LimitedFleet) -> None:
        await _begin_streams(fleet)
        for _ in range(restarts):
            await fleet.restart_all(wiped)
        await _check_origins(fleet)

    run_fleet(scenario)


def test_streams_of_the_only_version_are_recorded_once_another_joins(
    run_fleet: Runner,
) -> None:
    """They need no record before, and one afterwards."""

    async def scenario(fleet: LimitedFleet) -> None:
        fleet.set_version('v1', 'u2')
        await asyncio.sleep(STREAM_LIFE_S + LIST_S)
        await _begin_streams(fleet)
        record = fleet.system.leader.state.streams
        assert_that(record.begun, Equals(()))
        fleet.set_version('v2', 'u2')
        await asyncio.sleep(LIST_S)
        await fleet.restart_all()
        await wait_for_leader(fleet)
        found = await find_origins(fleet, f'{fleet.entries[0]} u2')
        assert_that(found, Equals({OLD}))

    run_fleet(scenario)


def test_record_may_be_missing_from_the_snapshot_of_an_earlier_build() -> None:
    applier = ControlApplier(ControlStateMachine())
    begun = RecordedStreams(_ORIGINS['u1'], digest_request_id('s1'))
    change = StreamChange(builds=_BOTH, begun=(begun,))
    applier.apply(3, applier.encode(change_streams(5, change)))
    image = applier.encode_state()
    restored = ControlApplier(ControlStateMachine())
    restored.restore(3, image)
    record = restored.machine.state.streams
    assert_that(record.find_origin('s1'), Equals(_ORIGINS['u1']))
    fields = msgspec.msgpack.decode(image)
    fields.pop('begun_streams')
    restored.restore(3, msgspec.msgpack.encode(fields))
    record = restored.machine.state.streams
    assert_that(record.find_origin('s1'), Equals(None))


@given(st.lists(st.binary(min_size=8, max_size=8), unique=True), st.data())
def test_streams_are_found_by_whole_digests_only(
    digests: list[bytes], data: st.DataObject
) -> None:
    streams = RecordedStreams(_ORIGINS['u1'], b''.join(digests))
    for digest in digests:
        assert_that(streams.has(digest), Equals(True))
    if len(digests) > 1:
        start = data.draw(st.integers(1, 8 * len(digests) - 8))
        across = streams.digests[start : start + 8]
        assert_that(streams.has(across), Equals(across in digests))


def test_record_of_streams_is_bounded() -> None:
    record = StreamRecord(_BOTH)
    for index in range(1, 50):
        digests = random.Random(index).randbytes(8 * 8192)
        begun = RecordedStreams(_ORIGINS['u1'], digests)
        record.apply(index, StreamChange(begun=(begun,)))
    assert_that(sum(one.count for one in record.begun), LessThan(262_145))
    assert_that(record.begun[-1].index, Equals(49))


def test_streams_are_dropped_once_no_caller_takes_them_up() -> None:
    """By the clock of the leader: the time of day may jump."""
    record = StreamRecord(_BOTH)
    planner = BegunPlanner(record)
    sizes: list[int] = []
    for step in range(100):
        stream = BegunStream(f's{step}', _ORIGINS['u1'])
        planner.add_reported((stream,), step)
        change = planner.plan(record, step)
        assert change is not None
        record.apply(step + 1, change)
        planner.record_committed(change)
        sizes.append(len(record.begun))
        oldest = max(0, step - int(STREAM_LIFE_S))
        found = record.find_origin(f's{oldest}')
        assert_that(found, Equals(_ORIGINS['u1']))
    assert_that(max(sizes), LessThan(STREAM_LIFE_S + 5))
    assert_that(min(sizes[40:]), GreaterThan(STREAM_LIFE_S - 1))
    # Another version may join again while they can still be taken up.
    single = (ServedBuilds('models', ('v1',), True),)
    record.apply(200, StreamChange(builds=single))
    assert_that(record.find_origin('s99'), Equals(_ORIGINS['u1']))


@given(st.randoms(use_true_random=False))
def test_reported_streams_are_recorded_in_whatever_terms(
    rng: random.Random,
) -> None:
    """Leaders change, changes fail, and reports of a term are repeated."""
    record = StreamRecord(_BOTH)
    planner = BegunPlanner(record)
    reported: dict[str, StreamOrigin] = {}
    for step in range(60):
        now = step / 10
        origin = rng.choice(tuple(_ORIGINS.values()))
        reported[f's{step}'] = origin
        planner.add_reported((BegunStream(f's{step}', origin),), now)
        if not rng.randrange(10):
            planner = BegunPlanner(record)
            planner.add_reported(
                (BegunStream(*one) for one in reported.items()), now
            )
        change = planner.plan(record, now)
        if change is not None and rng.randrange(4):
            record.apply(step + 1, change)
            planner.record_committed(change)
    last = planner.plan(record, 6)
    if last is not None:
        record.apply(100, last)
    for request_id, origin in reported.items():
        assert_that(record.find_origin(request_id), Equals(origin))
    assert_that(sum(one.count for one in record.begun), Equals(len(reported)))


def test_change_records_no_more_streams_than_its_limit() -> None:
    record = StreamRecord(_BOTH)
    planner = BegunPlanner(record)
    planner.add_reported(
        (BegunStream(f's{one}', _ORIGINS['u1']) for one in range(10_000)), 0
    )
    first = planner.plan(record, 0)
    assert first is not None
    record.apply(1, first)
    planner.record_committed(first)
    second = planner.plan(record, 0)
    assert second is not None
    record.apply(2, second)
    planner.record_committed(second)
    assert_that(planner.unrecorded, HasLength(0))
    assert_that(record.find_origin('s9999'), Equals(_ORIGINS['u1']))
