"""Which builds have served outlives all processes, in virtual time.

Guards against streams that are joined from two software versions, or refused,
after processes were lost that knew which versions had served (review/6).
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, IsInstance

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import (
    Command,
    ControlStateMachine,
    RecordOrderEnd,
    change_streams,
)
from persimmonhold.control.shell import ControlApplier
from persimmonhold.fleet import EntryReport
from persimmonhold.forwarding import FleetRunner
from persimmonhold.forwarding._build_log import BuildLog
from persimmonhold.forwarding._stream_origin_server import StreamOriginServer
from persimmonhold.messages import OrderOutcome
from persimmonhold.streams import (
    STREAM_LIFE_S,
    BuildHistory,
    BuildPlanner,
    SeenBuild,
    ServedBuilds,
    StreamChange,
    StreamOrigin,
    StreamOriginReply,
    StreamOriginRequest,
)
from persimmonhold.transport import Channel
from tests.fleet_builders import make_listed
from tests.limited_fleet import LimitedFleet

Scenario = Callable[[LimitedFleet], Awaitable[None]]
Runner = Callable[[Scenario], None]
_OLD = StreamOrigin('models', 'v1')
_NEW = StreamOrigin('models', 'v2')
_LIST_S = 1.5  # until the controller has read a list and told the entries
_BUILDS = ('v1', 'v2', 'v3')


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Runner:
    async def run_scenario(scenario: Scenario) -> None:
        fleet = LimitedFleet(5, tmp_path, monkeypatch)
        for upstream in fleet.upstreams.values():
            upstream.software_version = 'v1'
        async with fleet:
            await asyncio.sleep(2)
            await scenario(fleet)

    return lambda scenario: run_in_virtual_time(run_scenario(scenario))


async def _release(fleet: LimitedFleet, *names: str) -> None:
    """Replace upstreams, by default all, by ones of another version."""
    for name in names or fleet.upstreams:
        fleet.upstreams[name].software_version = 'v2'
        fleet.upstreams[name].born_ms += 1
    await asyncio.sleep(_LIST_S)


async def _find_origins(fleet: LimitedFleet) -> set[StreamOrigin | None]:
    """Return where all entries believe that an unknown stream began."""
    return {
        await services.fleet_client.find_stream_origin('models', 'lost')
        for services in fleet.services.values()
    }


async def _wait_for_leader(fleet: LimitedFleet) -> None:
    await fleet.system.wait_for_leader()
    await asyncio.sleep(_LIST_S)


@pytest.mark.parametrize('wiped', ['', 'vm1'])
@pytest.mark.parametrize('restarts', [1, 2])
def test_unknown_stream_goes_on_nowhere_after_all_have_restarted(
    run_fleet: Runner, restarts: int, wiped: str
) -> None:
    """Streams of a version that had just left went on at the one left."""

    async def scenario(fleet: LimitedFleet) -> None:
        await _release(fleet)
        for _ in range(restarts):
            await fleet.restart_all(wiped)
            await _wait_for_leader(fleet)
        assert_that(await _find_origins(fleet), Equals({None}))
        await asyncio.sleep(STREAM_LIFE_S)
        assert_that(await _find_origins(fleet), Equals({_NEW}))

    run_fleet(scenario)


@pytest.mark.parametrize('wiped', ['', 'vm1'])
def test_unknown_stream_goes_on_at_once_where_one_version_alone_served(
    run_fleet: Runner, wiped: str
) -> None:
    """A restart of all processes must not cost all streams."""

    async def scenario(fleet: LimitedFleet) -> None:
        await fleet.restart_all(wiped)
        await _wait_for_leader(fleet)
        assert_that(await _find_origins(fleet), Equals({_OLD}))

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['kill', 'cut', 'pause'])
def test_leader_and_all_entries_are_lost_while_one_version_leaves(
    run_fleet: Runner, fault: str
) -> None:
    """No VM that knows of the version is left, but the control log is."""

    async def scenario(fleet: LimitedFleet) -> None:
        await _release(fleet)
        disturbed = asyncio.create_task(fleet.disturb_leader(fault))
        for entry in fleet.entries:
            fleet.services.pop(entry).hub.close()
            fleet.start_entry(entry)
        await asyncio.sleep(0.1)
        assert_that(await _find_origins(fleet), Equals({None}))
        await disturbed
        assert_that(await _find_origins(fleet), Equals({None}))

    run_fleet(scenario)


def test_upstream_is_not_used_before_its_version_is_recorded(
    run_fleet: Runner,
) -> None:
    """A stream would begin at a version that the next leader cannot know."""

    async def scenario(fleet: LimitedFleet) -> None:
        leader = _find_leader(fleet)
        others = set(fleet.system.control_names) - {leader}
        fleet.system.network.partition({leader}, others)
        fleet.upstreams['u1'].software_version = 'v2'
        fleet.upstreams['u1'].born_ms += 1
        for _ in range(100):
            await asyncio.sleep(0.02)
            _check_versions_in_use(fleet.runners[leader])
        fleet.system.network.blocked_links.clear()
        await _wait_for_leader(fleet)
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


class _EarlierOriginServer:
    """The answers of an earlier build, which guesses by the newest list."""

    def __init__(self, server: StreamOriginServer) -> None:
        self.transport = server.transport
        self.build_log = server.build_log
        self.clock = server.clock
        self.builds: set[str] = set()
        self.begun: dict[str, StreamOrigin] = {}

    async def begin_term(self, term: int) -> None:
        await self.build_log.begin_term(term)

    async def run(self) -> None:
        await asyncio.Event().wait()

    def record_report(self, report: EntryReport) -> None:
        self.builds.update(one.build for one in report.builds)
        self.begun.update(
            (one.request_id, one.origin) for one in report.streams
        )

    async def record_list(
        self, listed: tuple[object, ...]
    ) -> tuple[object, ...]:
        self.builds.update(one.software_version for one in listed)  # type: ignore[attr-defined]
        return listed

    def answer_request(self, entry: str, request: StreamOriginRequest) -> None:
        origin = self.begun.get(request.begun_as)
        if origin is None and len(self.builds) == 1:
            origin = StreamOrigin('models', *self.builds)
        reply = StreamOriginReply(request_id=request.request_id, origin=origin)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(reply))
        encoded = msgspec.msgpack.encode(fields[:-1])
        self.transport.send(entry, Channel.fleet, encoded)


def _have_earlier_control(
    fleet: LimitedFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Have all VMs with control answer as an earlier build."""
    start_controller = fleet.start_controller

    def start(name: str) -> None:
        start_controller(name)
        runner = fleet.runners[name]
        earlier = _EarlierOriginServer(runner.origin_server)
        runner.origin_server = earlier  # type: ignore[assignment]

    monkeypatch.setattr(fleet, 'start_controller', start)


def test_entry_believes_no_guess_of_earlier_control_that_has_just_started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In an upgrade, the VM that leads control may be of an earlier build."""

    async def run_scenario() -> None:
        fleet = LimitedFleet(5, tmp_path, monkeypatch)
        _have_earlier_control(fleet, monkeypatch)
        for upstream in fleet.upstreams.values():
            upstream.software_version = 'v1'
        async with fleet:
            await _release(fleet)
            await fleet.restart_all()
            await _wait_for_leader(fleet)
            assert_that(await _find_origins(fleet), Equals({None}))
            await asyncio.sleep(STREAM_LIFE_S)
            assert_that(await _find_origins(fleet), Equals({_NEW}))

    run_in_virtual_time(run_scenario())


def test_entry_that_joins_earlier_control_has_streams_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An upgrade of the entries must not cost the streams they take up."""

    async def run_scenario() -> None:
        fleet = LimitedFleet(5, tmp_path, monkeypatch)
        _have_earlier_control(fleet, monkeypatch)
        for upstream in fleet.upstreams.values():
            upstream.software_version = 'v1'
        async with fleet:
            await asyncio.sleep(8)
            for entry in fleet.entries:
                fleet.services.pop(entry).hub.close()
                fleet.start_entry(entry)
            await asyncio.sleep(1)
            assert_that(await _find_origins(fleet), Equals({_OLD}))

    run_in_virtual_time(run_scenario())


def test_entry_believes_earlier_control_that_cannot_guess(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With several versions, it can only have been told of the stream."""

    async def run_scenario() -> None:
        fleet = LimitedFleet(5, tmp_path, monkeypatch)
        _have_earlier_control(fleet, monkeypatch)
        fleet.upstreams['u1'].software_version = 'v1'
        fleet.upstreams['u2'].software_version = 'v2'
        async with fleet:
            await asyncio.sleep(1)
            hub = fleet.services[fleet.entries[0]].hub
            hub.streams.origins.streams.record('lost', _OLD, fleet.now)
            await asyncio.sleep(1)
            assert_that(await _find_origins(fleet), Equals({_OLD}))

    run_in_virtual_time(run_scenario())


def test_new_leader_after_earlier_control_trusts_no_single_version_at_once(
    run_fleet: Runner,
) -> None:
    """The record is missing then, in the state and in snapshots."""

    async def scenario(fleet: LimitedFleet) -> None:
        await _release(fleet)
        log = fleet.runners[_find_leader(fleet)].origin_server.build_log
        _forget_record(log)
        for entry in fleet.entries:
            fleet.services.pop(entry).hub.close()
            fleet.start_entry(entry)
        await asyncio.sleep(_LIST_S)
        assert_that(await _find_origins(fleet), Equals({None}))

    run_fleet(scenario)


def _find_leader(fleet: LimitedFleet) -> str:
    return next(
        name
        for name in fleet.system.control_names
        if fleet.system.vms[name].node is fleet.system.leader
    )


def _forget_record(log: BuildLog) -> None:
    """Leave the state that an earlier build leaves to the next term."""
    log.node.state.streams.builds.clear()
    log.history.last_seen.clear()
    log.history.known_since = math.inf
    log.history.observed_at = -math.inf
    log.planner = BuildPlanner(log.history, ('models',))


class _EarlierOrderEnd(
    msgspec.Struct, frozen=True, kw_only=True, tag='record_order_end'
):
    """The command as earlier builds define it."""

    at_ms: int
    fence: int
    outcome: OrderOutcome


def _create_change() -> StreamChange:
    return StreamChange(builds=(ServedBuilds('models', ('v1',), True),))


def test_earlier_build_applies_a_change_of_the_record_without_effect() -> None:
    applier = ControlApplier(ControlStateMachine())
    encoded = applier.encode(change_streams(5, _create_change()))
    earlier = msgspec.msgpack.decode(encoded, type=_EarlierOrderEnd)
    expected = _EarlierOrderEnd(
        at_ms=5, fence=0, outcome=OrderOutcome.no_effect
    )
    assert_that(earlier, Equals(expected))
    plain = RecordOrderEnd(at_ms=5, fence=7, outcome=OrderOutcome.accepted)
    again = msgspec.msgpack.encode(
        _EarlierOrderEnd(at_ms=5, fence=7, outcome=OrderOutcome.accepted)
    )
    assert_that(applier.encode(plain), Equals(again))
    assert_that(
        msgspec.msgpack.decode(again, type=Command), IsInstance(RecordOrderEnd)
    )


def test_record_is_in_snapshots_and_may_be_missing_from_them() -> None:
    applier = ControlApplier(ControlStateMachine())
    applier.apply(1, applier.encode(change_streams(5, _create_change())))
    image = applier.encode_state()
    restored = ControlApplier(ControlStateMachine())
    restored.restore(1, image)
    builds = restored.machine.state.streams.builds
    assert_that(builds, Equals(applier.machine.state.streams.builds))
    fields = msgspec.msgpack.decode(image)
    fields.pop('served_builds')
    restored.restore(1, msgspec.msgpack.encode(fields))
    assert_that(restored.machine.state.streams.builds, Equals({}))


def test_reports_of_an_earlier_build_prove_nothing() -> None:
    report = EntryReport(term=1, number=2, sequence=3, observed_s=40)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    # The tag comes before the fields; that build ends before the new one.
    end = 1 + EntryReport.__struct_fields__.index('observed_s')
    earlier = msgspec.msgpack.encode(fields[:end])
    decoded = msgspec.msgpack.decode(earlier, type=EntryReport)
    assert_that(decoded.observed_s, Equals(0))


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
