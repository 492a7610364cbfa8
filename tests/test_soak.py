"""The soak of planned stops: a short run, its schedule and its checks."""

import asyncio
from pathlib import Path
from typing import Any, Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from bench.soak._call import Call, CallEnd
from bench.soak._checks import find_violations
from bench.soak._eager_caller import EagerCaller
from bench.soak._fault import FaultKind
from bench.soak._plan import Plan
from bench.soak._record import Record
from bench.soak._run import Run
from bench.soak._shape import Shape
from bench.soak._soak import Soak
from bench.soak._stop import Stop
from bench.soak._stream import Stream
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.web import (
    Address,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
)

_SEED: Final = 6  # planned stops only, grace period of 3 s
_RELEASE_SEED: Final = 3  # kills and freezes, too
_SECONDS: Final = 8.0
_VM_COUNT: Final = 5
_TIMEOUT_S: Final = 60.0
_GRACE_S: Final = 8.0
_TERM_AT: Final = 100.0


def _record(*runs: Run, **fields: Any) -> Record:
    """Return the record of a call that was cut at an entry in a stop."""
    values = {
        'end': CallEnd.cut,
        'begun_at': fields.get('sent_at', _TERM_AT + 1),
        'sent_at': _TERM_AT + 1,
        'ended_at': _TERM_AT + 7,
        'deadline_s': 12,
        'request': ClientRequest(method='GET', target='/'),
        'is_repeatable': False,
        **fields,
    }
    record = Record()
    record.calls.append(Call(request_id='r1', vm='e1', **values))
    record.runs['r1'].extend(runs)
    record.stops.append(
        Stop('e1', _TERM_AT, _GRACE_S, ended_at=_TERM_AT + 7.3, code=0)
    )
    return record


def _run(ended_after_s: float, *, has_broken: bool = False) -> Run:
    """Return a run that ended some time after the SIGTERM."""
    return Run('i-1', _TERM_AT + 1, _TERM_AT + ended_after_s, has_broken)


def test_short_run_breaks_no_promise(tmp_path: Path) -> None:
    soak = Soak(Plan(_SEED, _SECONDS, _VM_COUNT), tmp_path / 'soak')
    found = asyncio.run(asyncio.wait_for(soak.run(), _TIMEOUT_S))
    assert_that(found, Equals(set()))
    assert_that(soak.record.stops, Not(HasLength(0)))
    assert_that(
        {call.end for call in soak.record.calls} >= {CallEnd.answered},
        Equals(True),
    )


def test_short_run_with_releases_breaks_no_promise(tmp_path: Path) -> None:
    """Upstreams restart under their names; all VMs are killed at once."""
    plan = Plan(_RELEASE_SEED, _SECONDS, _VM_COUNT, has_releases=True)
    kinds = {fault.kind for fault in plan.faults}
    assert_that(kinds >= {FaultKind.release, FaultKind.kill_all}, Equals(True))
    soak = Soak(plan, tmp_path / 'soak')
    found = asyncio.run(asyncio.wait_for(soak.run(), _TIMEOUT_S))
    assert_that(found, Equals(set()))


@pytest.mark.parametrize('count', [2, 3])
def test_streams_of_two_versions_are_found(count: int) -> None:
    record = Record()
    for number in range(count):
        stream = Stream(f'r{number}', 3)
        assert_that(
            stream.add_events('r', b'id: 1\ndata: r v1\n\n'), Equals('')
        )
        assert_that(
            stream.add_events('s', b'id: 2\ndata: s v2\n\n'), Equals('')
        )
        record.streams.append(stream)
    assert_that(list(find_violations(record)), HasLength(int(count > 2)))


@pytest.mark.parametrize(
    'received', [b'id: 2\ndata: r v1\n\n', b'id: 1\ndata: s v1\n\n']
)
def test_event_out_of_order_or_of_another_request_is_found(
    received: bytes,
) -> None:
    assert_that(Stream('r', 3).add_events('r', received), Not(Equals('')))


def test_schedule_follows_from_the_seed() -> None:
    faults = [Plan(seed, 30, 8).faults for seed in (1, 1, 2)]
    assert_that(faults[0], Equals(faults[1]))
    assert_that(faults[0], Not(Equals(faults[2])))


def test_varied_schedule_differs_and_follows_from_the_seed() -> None:
    shapes = [
        Shape.large(9, is_varied=varied) for varied in (True, True, False)
    ]
    faults = [Plan(2, 30, 8, shape=shape).faults for shape in shapes]
    assert_that(faults[0], Equals(faults[1]))
    assert_that(faults[0], Not(Equals(faults[2])))


class _Sink(ExchangeHandler):
    """Keeps the bodies of requests by their id."""

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Keep a body and answer."""
        body = (await exchange.read_body()).unwrap()
        self.bodies[exchange.head.header(REQUEST_ID)] = body
        await exchange.respond(503)


def test_eager_caller_sends_whole_requests_and_records_their_ends() -> None:
    """Guards against violations that the soak itself causes."""

    async def scenario() -> tuple[Record, _Sink]:
        sink, record = _Sink(), Record()
        address = Address('127.0.0.1', 0)
        async with HttpServer(address, sink, HttpBounds()) as server:
            vms = {str(server.address): 'e1'}
            shape = Shape.large(9, is_varied=True)
            for number in range(8):
                caller = EagerCaller(f'c{number}', vms, record, shape)
                await caller.use_connection(str(server.address), 20)
        return record, sink

    record, sink = run_in_virtual_time(scenario())
    assert_that({one.end for one in record.calls}, Equals({CallEnd.answered}))
    sent = {one.request_id: one.request.body for one in record.calls}
    assert_that(sink.bodies, Equals(sent))
    assert_that(list(find_violations(record)), Equals([]))


@pytest.mark.parametrize(
    'record',
    [
        _record(),
        _record(_run(6.5)),
        _record(_run(7), sent_at=_TERM_AT + 3.5),
        _record(end=CallEnd.timed_out, ended_at=_TERM_AT + 14),
        _record(_run(2), end=CallEnd.answered, status=503),
        _record(_run(2), _run(3), end=CallEnd.answered, status=502),
        _record(end=CallEnd.answered, status=200),
        _record(end=CallEnd.answered, status=404),
        _record(end=CallEnd.answered, is_signed=True, problem='short'),
    ],
)
def test_broken_promise_is_found(record: Record) -> None:
    assert_that(list(find_violations(record)), HasLength(1))


@pytest.mark.parametrize(
    'record',
    [
        _record(_run(7)),
        _record(_run(2, has_broken=True)),
        _record(sent_at=_TERM_AT + 6.9),
        _record(deadline_s=6),
        _record(end=CallEnd.pending),
        _record(end=CallEnd.abandoned),
        _record(end=CallEnd.answered, status=503),
        _record(_run(2), end=CallEnd.answered, status=504),
        _record(
            _run(2),
            _run(3),
            end=CallEnd.answered,
            status=200,
            is_signed=True,
            is_repeatable=True,
        ),
    ],
)
def test_kept_promise_is_not_reported(record: Record) -> None:
    assert_that(list(find_violations(record)), Equals([]))


@pytest.mark.parametrize(('disrupted_at', 'count'), [(97, 1), (98.5, 0)])
def test_kill_or_freeze_excuses_requests_for_three_seconds(
    disrupted_at: float, count: int
) -> None:
    record = _record()
    record.disruptions['e1'].append((disrupted_at, disrupted_at))
    assert_that(list(find_violations(record)), HasLength(count))


def test_stop_that_had_to_be_killed_is_found() -> None:
    record = _record(end=CallEnd.answered, status=502)
    record.stops[0].code = -9
    assert_that(list(find_violations(record)), HasLength(1))
    record.disruptions['e1'].append((_TERM_AT, _TERM_AT + 1))
    assert_that(list(find_violations(record)), Equals([]))
