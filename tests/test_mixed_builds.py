"""Processes of this build beside those of an earlier one, as in an upgrade.

What the stream record adds to messages, the log and snapshots is read by an
earlier build without effect, and missing from what it writes.
"""

import asyncio
import math
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import (
    Command,
    ControlStateMachine,
    RecordOrderEnd,
    change_streams,
)
from persimmonhold.control.shell import ControlApplier
from persimmonhold.fleet import EntryReport
from persimmonhold.forwarding._build_log import BuildLog
from persimmonhold.forwarding._stream_origin_server import StreamOriginServer
from persimmonhold.messages import OrderOutcome
from persimmonhold.streams import (
    STREAM_LIFE_S,
    BuildPlanner,
    ServedBuilds,
    StreamChange,
    StreamOrigin,
    StreamOriginReply,
    StreamOriginRequest,
)
from persimmonhold.transport import Channel
from tests.limited_fleet import LimitedFleet
from tests.version_fleet import (
    LIST_S,
    NEW,
    OLD,
    Scenario,
    find_origins,
    release,
    run_versions,
    wait_for_leader,
)


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


@pytest.fixture
def run_earlier(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Callable[..., None]:
    """Run entries of this build beside control of an earlier one."""

    def run(scenario: Scenario, *versions: str) -> None:
        async def run_scenario() -> None:
            fleet = LimitedFleet(5, tmp_path, monkeypatch)
            _have_earlier_control(fleet, monkeypatch)
            await run_versions(fleet, scenario, *versions)

        run_in_virtual_time(run_scenario())

    return run


def test_entry_believes_no_guess_of_earlier_control_that_has_just_started(
    run_earlier: Callable[..., None],
) -> None:
    """In an upgrade, the VM that leads control may be of an earlier build."""

    async def scenario(fleet: LimitedFleet) -> None:
        await release(fleet)
        await fleet.restart_all()
        await wait_for_leader(fleet)
        assert_that(await find_origins(fleet), Equals({None}))
        await asyncio.sleep(STREAM_LIFE_S)
        assert_that(await find_origins(fleet), Equals({NEW}))

    run_earlier(scenario, 'v1')


def test_entry_that_joins_earlier_control_has_streams_go_on(
    run_earlier: Callable[..., None],
) -> None:
    """An upgrade of the entries must not cost the streams they take up."""

    async def scenario(fleet: LimitedFleet) -> None:
        await asyncio.sleep(6)
        fleet.restart_entries()
        await asyncio.sleep(1)
        assert_that(await find_origins(fleet), Equals({OLD}))

    run_earlier(scenario, 'v1')


def test_entry_believes_earlier_control_that_cannot_guess(
    run_earlier: Callable[..., None],
) -> None:
    """With several versions, it can only have been told of the stream."""

    async def scenario(fleet: LimitedFleet) -> None:
        hub = fleet.services[fleet.entries[0]].hub
        hub.streams.origins.streams.record('lost', OLD, fleet.now)
        await asyncio.sleep(1)
        assert_that(await find_origins(fleet), Equals({OLD}))

    run_earlier(scenario, 'v1', 'v2')


def test_new_leader_after_earlier_control_trusts_no_single_version_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The record is missing then, in the state and in snapshots."""

    async def scenario(fleet: LimitedFleet) -> None:
        await release(fleet)
        log = fleet.runners[fleet.leader_name].origin_server.build_log
        _forget_record(log)
        fleet.restart_entries()
        await asyncio.sleep(LIST_S)
        assert_that(await find_origins(fleet), Equals({None}))

    fleet = LimitedFleet(5, tmp_path, monkeypatch)
    run_in_virtual_time(run_versions(fleet, scenario, 'v1'))


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
