"""Faults that meet a planned stop: late loops, failed steps, cut connections.

Virtual time; callers and upstreams use sockets on loopback.
"""

import asyncio
import itertools
import os
import random
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final, TypeVar

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    MatchesAny,
)

from bench.virtual_loop import VirtualTimeLoop, run_in_virtual_time
from persimmonhold.fleet import HeldModel
from persimmonhold.routes import RouteKind
from persimmonhold.settings import CallerSettings
from persimmonhold.system import run_until_stopped
from persimmonhold.tasks import BackgroundTasks
from persimmonhold.web import (
    Address,
    ClientConnection,
    Exchange,
    HttpBounds,
    HttpServer,
    encode_headers,
)
from tests import forwarding_harness
from tests.entry_builders import EntryHarness, ScriptedUpstream
from tests.raw_upstream import RawConnection, RawUpstream
from tests.scripted_entries import SERVICE, make_vm
from tests.stopping_entry import CallerOutcome, StoppingEntry

_ResultT = TypeVar('_ResultT')
_LONG_S: Final = 600.0
_READ_BYTES: Final = 65_536
_EVENT_GAP_S: Final = 0.1
_FATES: Final = ('refuse', 'abort', 'fail', 'hang', 'answer', 'answer')
_HEAD: Final = (
    b'POST /chat/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: %b\r\n'
    b'deadline-ms: 20000\r\ncontent-length: 1\r\n\r\nx'
)


def _run(
    scenario: Callable[[StoppingEntry], Awaitable[_ResultT]],
    grace_s: float = 8.0,
    slots: int = 8,
) -> _ResultT:
    async def run_scenario() -> _ResultT:
        async with StoppingEntry(grace_s, slots) as harness:
            return await scenario(harness)

    return run_in_virtual_time(run_scenario())


def _signed(exchange: Exchange) -> dict[str, str]:
    return {
        'attempt-id': exchange.head.header('attempt-id'),
        'server-signature': 'signed',
    }


async def _hang(exchange: Exchange) -> None:
    await asyncio.sleep(_LONG_S)


def _answer_after(
    wait_s: float, status: int = 200
) -> Callable[[Exchange], Awaitable[None]]:
    async def script(exchange: Exchange) -> None:
        await exchange.read_body()
        await asyncio.sleep(wait_s)
        headers = encode_headers(_signed(exchange))
        await exchange.respond(status, b'answer', headers=headers)

    return script


def _stream_for(duration_s: float) -> Callable[[Exchange], Awaitable[None]]:
    async def script(exchange: Exchange) -> None:
        await exchange.read_body()
        own = {**_signed(exchange), 'content-type': 'text/event-stream'}
        await exchange.start_response(200, encode_headers(own))
        for number in range(round(duration_s / _EVENT_GAP_S)):
            await exchange.send_body_chunk(b'id: %d\ndata: x\n\n' % number)
            await asyncio.sleep(_EVENT_GAP_S)
        await exchange.finish_response()

    return script


def _be_late(late_s: float) -> None:
    """Have the loop miss its timers by `late_s`."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.now += late_s


@pytest.mark.parametrize('grace_s', [8.0, 30.0])
@pytest.mark.parametrize('sent_at_s', [3.1, 3.9])
@pytest.mark.parametrize('tokens', ['', '9,100'])
def test_late_stream_is_refused_or_completed(
    tokens: str, sent_at_s: float, grace_s: float
) -> None:
    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        harness.set_route(RouteKind.stream, is_engine=bool(tokens))
        harness.models = (HeldModel('m1', 1, ()),)
        await harness.start_upstream(_stream_for(5.0))
        harness.begin_stop()
        await asyncio.sleep(sent_at_s)
        own = {'model': 'm1', 'token-count': tokens} if tokens else {}
        call = harness.start_call(own)
        await harness.finish_stop()
        return await call

    assert_that(
        _run(scenario, grace_s).status, MatchesAny(Equals(200), Equals(503))
    )


@pytest.mark.parametrize('sent_at_s', [3.1, 3.6, 3.9])
@pytest.mark.parametrize('tokens', [20, 60, 90])
def test_short_late_stream_is_not_cut_at_a_very_slow_upstream(
    tokens: int, sent_at_s: float
) -> None:
    """Guards against a late stream sent because it is expected to be short."""

    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        harness.set_route(RouteKind.stream, is_engine=True)
        harness.models = (HeldModel('m1', 1, ()),)
        await harness.start_upstream(_stream_for(5.0))
        harness.begin_stop()
        await asyncio.sleep(sent_at_s)
        own = {'model': 'm1', 'token-count': f'9,{tokens}'}
        call = harness.start_call(own)
        await harness.finish_stop()
        return await call

    assert_that(_run(scenario).status, MatchesAny(Equals(200), Equals(503)))


def test_stream_whose_body_ends_late_is_not_cut() -> None:
    """Guards against a late stream that counts as early by its head."""
    head = _HEAD.replace(b'length: 1', b'length: 2') % b'r1'
    fields = b'model: m1\r\ntoken-count: 9,100\r\n\r\n'

    async def scenario(harness: StoppingEntry) -> bytes:
        harness.set_route(RouteKind.stream, is_engine=True)
        harness.models = (HeldModel('m1', 1, ()),)
        await harness.start_upstream(_stream_for(5.0))
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        harness.begin_stop()
        await asyncio.sleep(1.9)
        writer.write(head.replace(b'\r\n\r\n', b'\r\n' + fields))
        await asyncio.sleep(1.3)
        writer.write(b'x')
        await harness.finish_stop()
        received = await reader.read()
        writer.close()
        await writer.wait_closed()
        return received

    assert_that(_run(scenario)[:12], Equals(b'HTTP/1.1 503'))


@pytest.mark.parametrize('late_s', [0.3, 1.0])
@pytest.mark.parametrize('is_new', [False, True])
@pytest.mark.parametrize('closes_s', [3.9, 3.99])
def test_request_that_a_late_loop_has_not_read_is_answered(
    closes_s: float, is_new: bool, late_s: float
) -> None:
    async def scenario(harness: StoppingEntry) -> bytes:
        await harness.start_upstream(_answer_after(0.01))
        address = harness.entry.server.address
        caller = socket.socket()
        caller.setblocking(True)
        if not is_new:
            caller.connect((address.host, address.port))
        harness.begin_stop()
        await asyncio.sleep(closes_s)
        if is_new:
            caller.connect((address.host, address.port))
        caller.sendall(_HEAD % b'r1')
        _be_late(late_s)
        await harness.finish_stop()
        try:
            return caller.recv(12)
        except ConnectionError:
            return b'reset'
        finally:
            caller.close()

    assert_that(_run(scenario), Equals(b'HTTP/1.1 200'))


def test_request_on_a_cut_pooled_connection_is_not_refused_as_not_run() -> None:
    async def scenario(harness: StoppingEntry) -> tuple[CallerOutcome, int]:
        upstream = RawUpstream('u0', _hang_raw)
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(8)
                heads.append(head)
                if len(heads) == 2:
                    server.close()
                    writer.transport.abort()
                    return
                connection = RawConnection(head.decode('ascii'), writer)
                await connection.respond('application/json', 'length', b'ok')

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        upstream.address = f'{host}:{port}'
        harness.upstreams.append(upstream)  # type: ignore[arg-type]
        harness.send_update()
        first = await harness.call()
        assert_that(first.status, Equals(200))
        harness.begin_stop()
        second = harness.start_call()
        await harness.finish_stop()
        return await second, len(heads)

    outcome, heads = _run(scenario)
    assert_that(heads, Equals(2))
    assert_that(outcome.status, MatchesAny(Equals(502), Equals(504)))


async def _hang_raw(connection: RawConnection) -> None:
    await asyncio.sleep(_LONG_S)


def test_error_of_an_upstream_is_passed_on_if_the_stop_ends_the_retry() -> None:
    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        harness.set_route(RouteKind.idempotent, attempts=2)
        calls = itertools.count(1)
        fail = _answer_after(0.01, 500)

        async def script(exchange: Exchange) -> None:
            await (fail if next(calls) == 1 else _hang)(exchange)

        await harness.start_upstream(script)
        await harness.start_upstream(script)
        call = harness.start_call()
        await asyncio.sleep(0.1)
        assert_that(next(calls), Equals(3))
        harness.begin_stop()
        await harness.finish_stop()
        return await call

    assert_that(_run(scenario, grace_s=3.0).status, Equals(500))


async def _start_waiting(harness: StoppingEntry) -> asyncio.Task[CallerOutcome]:
    harness.set_route(RouteKind.stream)
    await harness.start_upstream(_stream_for(_LONG_S))
    harness.start_call({'deadline-ms': '60000'})
    await asyncio.sleep(0.05)
    return harness.start_call()


def test_failed_close_of_the_server_cuts_no_waiting_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        call = await _start_waiting(harness)

        async def fail() -> None:
            raise OSError('close failed')

        monkeypatch.setattr(
            type(harness.entry.server), 'drain', lambda _: fail()
        )
        harness.begin_stop()
        await harness.finish_stop()
        return await call

    assert_that(_run(scenario, slots=1).status, Equals(503))


def test_announcement_that_hangs_or_fails_delays_no_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def hang() -> bool:
        await asyncio.sleep(_LONG_S)
        return True

    async def fail() -> bool:
        raise OSError('unreachable')

    async def scenario(harness: StoppingEntry) -> tuple[CallerOutcome, float]:
        call = await _start_waiting(harness)
        harness.begin_stop()
        took_s = await harness.finish_stop()
        return await call, took_s

    for announce in (hang, fail):

        async def announced(
            harness: StoppingEntry,
            announce: Callable[[], Awaitable[bool]] = announce,
        ) -> tuple[CallerOutcome, float]:
            monkeypatch.setattr(harness.link, 'announce_draining', announce)
            return await scenario(harness)

        outcome, took_s = _run(announced, slots=1)
        assert_that(outcome.status, Equals(503))
        assert_that(took_s, LessThan(8.0))


def test_entry_leaves_the_directory_and_readiness_at_once() -> None:
    async def scenario(harness: StoppingEntry) -> bool:
        await harness.start_upstream(_hang)
        assert_that(harness.entry.is_ready, Equals(True))
        harness.begin_stop()
        await asyncio.sleep(0)
        assert_that(harness.entry.directory.is_leaving, Equals(True))
        return harness.entry.is_ready

    assert_that(_run(scenario), Equals(False))


@pytest.mark.parametrize('jump_s', [2.0, 20.0])
def test_stop_ends_in_time_if_the_clock_jumps(jump_s: float) -> None:
    async def scenario(harness: StoppingEntry) -> tuple[CallerOutcome, float]:
        call = await _start_waiting(harness)
        offset = 0.0
        hub = harness.entry.hub
        hub.clock = lambda: harness.now + offset
        harness.begin_stop()
        await asyncio.sleep(2.0)
        offset = jump_s
        took_s = await harness.finish_stop()
        return await call, took_s

    outcome, took_s = _run(scenario, slots=1)
    assert_that(took_s, LessThan(8.0))
    assert_that(outcome.status, Equals(503))


class _RandomUpstream:
    """Answers, fails, refuses or hangs by chance; records what ran."""

    def __init__(self, rng: random.Random, longest_s: float) -> None:
        self.rng = rng
        self.longest_s = longest_s
        self.ran: list[str] = []

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request."""
        await exchange.read_body()
        fate = self.rng.choice(_FATES)
        if fate == 'refuse':
            headers = {**_signed(exchange), 'not-executed': '1'}
            await exchange.respond(503, b'', headers=encode_headers(headers))
            return
        self.ran.append(exchange.head.header('attempt-id'))
        if fate == 'abort':
            exchange.abort_connection()
        elif fate == 'fail':
            await _answer_after(0.1, 500)(exchange)
        elif fate == 'hang':
            await asyncio.sleep(_LONG_S)
        else:
            await _answer_after(self.rng.random() * self.longest_s)(exchange)


async def _call_at_random(
    harness: StoppingEntry,
    rng: random.Random,
    calls: dict[str, asyncio.Task[CallerOutcome]],
) -> None:
    """Start callers until soon before the entry closes its socket."""
    for number in range(30):
        await asyncio.sleep(rng.random() * harness.grace_s / 60)
        name = f'q{number}'
        calls[name] = harness.start_call({'attempt-id': name})


async def _be_late_at(late_at_s: float, late_s: float) -> None:
    await asyncio.sleep(late_at_s)
    _be_late(late_s)


@pytest.mark.parametrize('seed', range(40))
def test_random_requests_of_a_stop_get_answers_that_are_true(seed: int) -> None:
    rng = random.Random(seed)
    grace_s = rng.choice([3.0, 8.0, 30.0])
    kind = rng.choice([RouteKind.idempotent, RouteKind.non_idempotent])
    upstream = _RandomUpstream(rng, grace_s)

    async def scenario(harness: StoppingEntry) -> dict[str, int]:
        harness.set_route(kind, attempts=rng.choice([1, 2, 3]))
        harness.limit_per_s = rng.choice([None, None, 3.0])
        for _ in range(2):
            await harness.start_upstream(upstream.serve)
        calls: dict[str, asyncio.Task[CallerOutcome]] = {}
        tasks = [asyncio.create_task(_call_at_random(harness, rng, calls))]
        await asyncio.sleep(rng.uniform(0.2, 0.4) * grace_s)
        harness.begin_stop()
        tasks += [
            asyncio.create_task(
                _be_late_at(rng.random() * grace_s, grace_s / 16)
            )
            for _ in range(2)
        ]
        assert_that(await harness.finish_stop(), LessThan(grace_s))
        for task in tasks:
            task.cancel()
        hub = harness.entry.hub
        left = (
            hub.waiters,
            hub.dispatcher.pending,
            harness.entry.handler.runners,
        )
        assert_that([len(one) for one in left], Equals([0, 0, 0]))
        return {name: (await call).status for name, call in calls.items()}

    statuses = _run(scenario, grace_s, slots=2)
    answers = [Equals(one) for one in (200, 500, 502, 503, 504)]
    assert_that(statuses.values(), AllMatch(MatchesAny(*answers)))
    assert_that(len(statuses), GreaterThan(5))
    if kind is RouteKind.non_idempotent:
        assert_that(upstream.ran, HasLength(len(set(upstream.ran))))
        refused = {name for name, one in statuses.items() if one == 503}
        assert_that(refused & set(upstream.ran), Equals(set()))


def test_request_that_an_upstream_leaves_unread_is_not_refused_as_not_run() -> (
    None
):
    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        harness.set_route(RouteKind.non_idempotent)

        async def ignore(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.sleep(_LONG_S)

        server = await asyncio.start_server(ignore, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        upstream = RawUpstream('u0', _hang_raw)
        upstream.address = f'{host}:{port}'
        harness.upstreams.append(upstream)  # type: ignore[arg-type]
        harness.send_update()
        connection = await harness.connect()
        call = harness.start_call(None, connection)
        await asyncio.sleep(0.1)
        harness.begin_stop()
        await harness.finish_stop()
        server.close()
        return await call

    assert_that(_run(scenario, grace_s=3.0).status, Equals(504))


def test_exception_of_a_dispatch_cuts_no_waiting_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        call = await _start_waiting(harness)
        await asyncio.sleep(0.1)
        dispatcher = harness.entry.hub.dispatcher

        def fail(*_: object) -> None:
            raise ValueError('choice')

        monkeypatch.setattr(type(dispatcher.chooser), 'choose_upstream', fail)
        harness.begin_stop()
        with suppress(ValueError):
            await harness.finish_stop()
        async with asyncio.timeout(1.0):
            return await call

    assert_that(_run(scenario, slots=1).status, Equals(503))


def test_request_behind_one_that_the_stop_ends_is_answered() -> None:
    async def scenario(harness: StoppingEntry) -> bytes:
        await harness.start_upstream(_hang)
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(_HEAD % b'r1' + _HEAD % b'r2')
        await asyncio.sleep(0.1)
        harness.begin_stop()
        received = await reader.read()
        writer.close()
        await harness.finish_stop()
        return received

    received = _run(scenario)
    assert_that(received.count(b'HTTP/1.1 50'), Equals(2))


class _FailedVm:
    """A VM of which a background task has failed."""

    def __init__(self) -> None:
        self.background = BackgroundTasks()
        self.background.failed.set()
        self.drains = 0

    async def __aenter__(self) -> '_FailedVm':
        return self

    async def __aexit__(self, *_: object) -> None:
        """Do nothing."""

    async def drain(self, **_: object) -> None:
        """Record the drain."""
        self.drains += 1


def test_vm_of_which_a_part_failed_is_drained() -> None:
    vm = _FailedVm()
    asyncio.run(run_until_stopped(lambda: vm))  # type: ignore[arg-type,return-value]
    assert_that(vm.drains, Equals(1))


def test_second_signal_does_not_shorten_a_stop() -> None:
    vm = _FailedVm()
    vm.background.failed.clear()

    async def drain() -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.05)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        vm.drains += 1

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
        await run_until_stopped(lambda: vm)  # type: ignore[arg-type,return-value]

    vm.drain = drain  # type: ignore[method-assign,assignment]
    asyncio.run(run())
    assert_that(vm.drains, Equals(1))


@pytest.mark.parametrize('target', ['/services/lodgements/a'])
def test_running_request_of_the_own_interface_is_answered(target: str) -> None:
    async def hang(exchange: Exchange) -> None:
        await asyncio.Event().wait()

    async def scenario() -> int:
        replica = ScriptedUpstream('replica-1', hang)
        callers = CallerSettings(
            directory_ttl_s=0.01, drain_margin_s=0, drain_timeout_s=0.3
        )
        async with EntryHarness(replica, callers=callers) as harness:
            call = asyncio.create_task(harness.call('GET', target))
            await asyncio.sleep(0.1)
            await harness.entry.drain()
        return (await call).head.status

    assert_that(asyncio.run(scenario()), MatchesAny(Equals(502), Equals(504)))


def test_refused_body_is_answered_with_the_announced_close() -> None:
    async def scenario(harness: StoppingEntry) -> bytes:
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        harness.begin_stop()
        await asyncio.sleep(2.0)
        writer.write(
            b'POST /chat/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: r1\r\n'
            b'content-length: 5000000\r\n\r\nxxxx'
        )
        received = await reader.read()
        writer.close()
        await harness.finish_stop()
        return received

    received = _run(scenario)
    assert_that(received.count(b'HTTP/1.1 413'), Equals(1))
    assert_that(received.count(b'connection: close'), Equals(1))


@pytest.mark.parametrize('thaw_s', [2.0, 4.0, 6.0, 7.0])
@pytest.mark.parametrize('frozen_s', [1.5, 3.0])
def test_thawed_process_answers_what_it_holds(
    frozen_s: float, thaw_s: float
) -> None:
    async def scenario(harness: StoppingEntry) -> list[int]:
        waiting = await _start_waiting(harness)
        harness.set_route(RouteKind.non_idempotent)
        await harness.start_upstream(_hang)
        running = harness.start_call()
        await asyncio.sleep(0.1)
        harness.begin_stop()
        await asyncio.sleep(max(0, thaw_s - frozen_s))
        _be_late(frozen_s)
        await harness.finish_stop()
        return [(await waiting).status, (await running).status]

    statuses = _run(scenario, slots=1)
    answers = [Equals(one) for one in (502, 503, 504)]
    assert_that(statuses, AllMatch(MatchesAny(*answers)))


@pytest.mark.parametrize('work_s', [0.09, 0.9, 2.5])
@pytest.mark.parametrize('kind', list(RouteKind))
def test_late_request_over_a_kept_connection_is_answered_or_not_passed_on(
    kind: RouteKind, work_s: float
) -> None:
    arrived: set[str] = set()

    async def serve(exchange: Exchange) -> None:
        arrived.add(exchange.head.header('attempt-id'))
        if kind is RouteKind.stream:
            await _stream_for(work_s)(exchange)
        else:
            await _answer_after(work_s)(exchange)

    async def send_late(
        harness: StoppingEntry, connection: ClientConnection, late_s: float
    ) -> tuple[float, CallerOutcome, bool]:
        await asyncio.sleep(late_s)
        name = f'late{late_s:.2f}'
        outcome = await harness.call({'attempt-id': name}, connection)
        return late_s, outcome, name in arrived

    async def scenario(
        harness: StoppingEntry,
    ) -> list[tuple[float, CallerOutcome, bool]]:
        harness.set_route(kind)
        await harness.start_upstream(serve)
        connections = [await harness.connect() for _ in range(40)]
        await asyncio.gather(
            *(harness.call(connection=one) for one in connections)
        )
        harness.begin_stop()
        late = [
            asyncio.create_task(
                send_late(harness, connection, step * harness.grace_s / 40)
            )
            for step, connection in enumerate(connections)
        ]
        assert_that(await harness.finish_stop(), LessThan(harness.grace_s))
        return list(await asyncio.gather(*late))

    outcomes = _run(scenario, slots=50)
    passed_on = {
        late_s: outcome.status
        for late_s, outcome, has_arrived in outcomes
        if has_arrived
    }
    assert_that(len(passed_on), GreaterThan(5))
    assert_that(set(passed_on.values()), Equals({200}))


def test_request_sent_behind_the_head_of_a_stream_is_answered() -> None:
    """Guards against a request that was read and dropped by a close.

    The head of a stream comes long before its end, and asked to close.
    """

    async def scenario(harness: StoppingEntry) -> bytes:
        harness.set_route(RouteKind.stream)
        await harness.start_upstream(_stream_for(1.5))
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        harness.begin_stop()
        await asyncio.sleep(1.2)
        writer.write(_HEAD % b'r1')
        received = await reader.readuntil(b'\n\n')
        writer.write(_HEAD % b'r2')
        received += await reader.read()
        writer.close()
        await harness.finish_stop()
        return received

    received = _run(scenario)
    assert_that(received.count(b'HTTP/1.1 '), Equals(2))
    assert_that(received.count(b'0\r\n\r\n'), GreaterThan(0))


def test_request_sent_at_the_end_of_a_stream_is_answered() -> None:
    """Guards against a close that the stream has not announced."""

    async def scenario(harness: StoppingEntry) -> bytes:
        harness.set_route(RouteKind.stream)
        await harness.start_upstream(_stream_for(3.0))
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        harness.begin_stop()
        await asyncio.sleep(1.5)
        writer.write(_HEAD % b'r1')
        await reader.readuntil(b'0\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.write(_HEAD % b'r2')
        received = await reader.read()
        writer.close()
        await harness.finish_stop()
        return received

    assert_that(_run(scenario)[:12], Equals(b'HTTP/1.1 503'))


@pytest.mark.parametrize('sent_at_s', [2.5, 3.5])
def test_late_stream_is_not_relayed_and_then_cut(sent_at_s: float) -> None:
    """Guards against a stop that only requests for own upstreams meet."""

    async def scenario(harness: StoppingEntry) -> CallerOutcome:
        harness.set_route(RouteKind.stream)
        other = forwarding_harness.ScriptedUpstream('other', _stream_for(6.0))
        server = HttpServer(Address('127.0.0.2', 0), other, HttpBounds())
        await harness.stack.enter_async_context(server)
        harness.link.view = msgspec.structs.replace(
            harness.link.view,
            vms=(make_vm('other', str(server.address)),),
        )
        harness.entry.handler.refresh_route_table()
        monitor = harness.entry.services.reach.monitor
        monitor.begin_probing(SERVICE)
        monitor.record_lost(SERVICE, harness.now)
        harness.begin_stop()
        await asyncio.sleep(sent_at_s)
        call = harness.start_call()
        await harness.finish_stop()
        return await call

    assert_that(_run(scenario).status, Equals(503))


@pytest.mark.parametrize('sent_at_s', [6.8, 7.2])
def test_late_request_waits_for_no_origin(
    monkeypatch: pytest.MonkeyPatch, sent_at_s: float
) -> None:
    """Guards against a wait outside the queue after waiting requests ended."""

    async def hang(*_: object) -> None:
        await asyncio.sleep(_LONG_S)

    async def scenario(harness: StoppingEntry) -> bytes:
        harness.set_route(RouteKind.stream, resumable=True)
        await harness.start_upstream(_stream_for(1.0))
        monkeypatch.setattr(
            type(harness.entry.fleet_client), 'find_stream_origin', hang
        )
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        head = _HEAD.replace(b'length: 1', b'length: 2') % b'r1'
        fields = b'last-event-id: 3\r\nresumes: r0\r\n\r\n'
        harness.begin_stop()
        await asyncio.sleep(1.0)
        writer.write(head.replace(b'\r\n\r\n', b'\r\n' + fields))
        await asyncio.sleep(sent_at_s - 1.0)
        sent_at = harness.now
        writer.write(b'x')
        received = await reader.read()
        assert_that(harness.now - sent_at, LessThan(0.2))
        await harness.finish_stop()
        writer.close()
        return received

    assert_that(_run(scenario)[:12], Equals(b'HTTP/1.1 503'))


@pytest.mark.parametrize('answer_s', [2.0, 2.9])
def test_each_request_sent_behind_a_running_one_is_answered(
    answer_s: float,
) -> None:
    """Guards against a close that leaves requests behind unread.

    Reading pauses behind a running request once something was received.
    """

    async def scenario(harness: StoppingEntry) -> bytes:
        await harness.start_upstream(_answer_after(answer_s))
        address = harness.entry.server.address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        harness.begin_stop()
        await asyncio.sleep(3.0)
        for name in (b'r1', b'r2', b'r3', b'r4'):
            writer.write(_HEAD % name)
            await asyncio.sleep(0.1)
        received = b''
        with suppress(ConnectionError):
            while chunk := await reader.read(_READ_BYTES):
                received += chunk
        writer.close()
        await harness.finish_stop()
        return received

    assert_that(_run(scenario).count(b'HTTP/1.1 '), Equals(4))
