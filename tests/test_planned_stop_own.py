"""A planned stop of the product's own interface ends each request truthfully.

Virtual time; callers and upstreams use sockets on loopback.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final, Self, TypeAlias, TypeVar, final

import eliot
import msgspec
import pytest
from returns.result import Failure as Failed
from returns.result import Result
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Contains,
    EndsWith,
    Equals,
    HasLength,
    LessThan,
    MatchesAny,
    Not,
)

from bench.virtual_loop import VirtualTimeLoop, run_in_virtual_time
from persimmonhold.control.machine import Claim
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.settings import CallerSettings
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    Exchange,
    encode_headers,
)
from tests.entry_builders import (
    IDLE_LOAD_REPORT,
    EntryHarness,
    Script,
    ScriptedUpstream,
)
from tests.stopping_entry import BROKEN, CLOSED

_ResultT = TypeVar('_ResultT')
_Lines: TypeAlias = list[dict[str, Any]]
_TIMEOUTS_S: Final = (1.0, 2.0, 5.0, 30.0)
_TTL_S: Final = 0.5
_MARGIN_S: Final = 0.5
_LONG_S: Final = 600.0
# Time that a drain may take beyond its last time limit: the commit of claims
# and the transmission of the last responses.
_COMMIT_S: Final = 6.0
_SERVICE_SLOTS: Final = 16
_EVENT_GAP_S: Final = 0.1
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_STREAM_HEADERS: Final = encode_headers({'content-type': 'text/event-stream'})
_LONG_DEADLINE: Final = 'persimmonhold-deadline-ms'


@final
class _Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of call, and the upstream that serves it."""

    name: str
    method: str = 'POST'
    target: str = '/services/lodgements/returns'
    document: dict[str, Any] | None = None
    key: str = ''

    @property
    def upstream(self) -> str:
        """The name of an upstream that serves calls of this kind."""
        is_generation = self.target.startswith('/v1/')
        return 'engine-1' if is_generation else 'replica-1'

    def __str__(self) -> str:
        return self.name


_STREAM: Final = _Kind(
    name='stream',
    target='/v1/completions',
    document={'model': 'tutor', 'stream': True, 'prompt': 'Check.'},
)
_DOCUMENT: Final = _Kind(
    name='document',
    target='/v1/completions',
    document={'model': 'tutor', 'prompt': 'Check.'},
)
_IDEMPOTENT: Final = _Kind(name='idempotent', method='GET')
_KEYED: Final = _Kind(name='keyed', document={'litres': 3}, key='one')
_UNKEYED: Final = _Kind(name='unkeyed', document={'litres': 3})
_KINDS: Final = (_STREAM, _DOCUMENT, _IDEMPOTENT, _KEYED, _UNKEYED)
_REPEATABLE_KINDS: Final = (_STREAM, _DOCUMENT, _IDEMPOTENT)


@final
class _Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What one caller got; an error event gives `reason` and `ran` as well."""

    status: int
    request_id: str = ''
    reason: str = ''
    ran: str = ''
    body: bytes = b''

    @property
    def refusal(self) -> tuple[int, str, str]:
        """The status, the reason and whether it ran."""
        return self.status, self.reason, self.ran


_Call: TypeAlias = asyncio.Task[_Outcome]
_Scenario: TypeAlias = Callable[[EntryHarness], Awaitable[_ResultT]]
_DRAINING: Final = (_UNAVAILABLE, 'draining', 'no')
_MAY_HAVE_RUN: Final = (_GATEWAY_TIMEOUT, 'deadline_exceeded', 'unknown')


@pytest.fixture
def lines() -> Iterator[_Lines]:
    """Return the log lines that a test causes."""
    logged: _Lines = []
    # Without a destination, eliot keeps messages for the first one.
    eliot.add_destinations(logged.append)
    logged.clear()
    yield logged
    eliot.remove_destination(logged.append)


@final
class _HangingConnection:
    """Stands for an upstream that accepts no connection in time."""

    @classmethod
    async def connect(
        cls, peer: Address, timeout_s: float
    ) -> Result[Self, Failure]:
        """Fail after the time-out."""
        await asyncio.sleep(timeout_s)
        return Failed(Failure(kind=FailureKind.connect_failed, step='connect'))


def _run(
    scenario: _Scenario[_ResultT],
    *upstreams: ScriptedUpstream,
    timeout_s: float = 5.0,
) -> _ResultT:
    callers = CallerSettings(
        directory_ttl_s=_TTL_S,
        drain_margin_s=_MARGIN_S,
        drain_timeout_s=timeout_s,
    )

    async def run_scenario() -> _ResultT:
        async with EntryHarness(*upstreams, callers=callers) as harness:
            return await scenario(harness)

    return run_in_virtual_time(run_scenario())


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _hang(exchange: Exchange) -> None:
    await asyncio.sleep(_LONG_S)


async def _answer(exchange: Exchange) -> None:
    await exchange.respond(200, b'answer')


async def _drop(exchange: Exchange) -> None:
    exchange.abort_connection()


def _answer_after(delay_s: float) -> Script:
    async def script(exchange: Exchange) -> None:
        await asyncio.sleep(delay_s)
        await exchange.respond(200, b'answer')

    return script


def _stream_for(duration_s: float) -> Script:
    async def script(exchange: Exchange) -> None:
        await exchange.start_response(200, _STREAM_HEADERS)
        for number in range(round(duration_s / _EVENT_GAP_S)):
            await exchange.send_body_chunk(b'data: {"token": %d}\n\n' % number)
            await asyncio.sleep(_EVENT_GAP_S)
        await exchange.send_body_chunk(b'data: [DONE]\n\n')
        await exchange.finish_response()

    return script


def _build_request(kind: _Kind, headers: dict[str, str]) -> ClientRequest:
    own = {_LONG_DEADLINE: '3600000', 'persimmonhold-caller': 'bottler'}
    if kind.key:
        own['idempotency-key'] = kind.key
    return ClientRequest(
        method=kind.method,
        target=kind.target,
        headers=encode_headers({**own, **headers}),
        body=msgspec.json.encode(kind.document) if kind.document else b'',
    )


async def _connect(harness: EntryHarness) -> ClientConnection:
    return (await ClientConnection.connect(harness.entry.address, 1.0)).unwrap()


async def _call(
    harness: EntryHarness,
    kind: _Kind,
    headers: dict[str, str] | None = None,
    connection: ClientConnection | None = None,
) -> _Outcome:
    """Send a request as a caller that waits for as long as it takes."""
    used = connection or await _connect(harness)
    await used.send_request(_build_request(kind, headers or {}))
    received = await used.receive_head()
    if isinstance(received, Failed):
        return _Outcome(status=CLOSED)
    head = received.unwrap()
    request_id = head.header('persimmonhold-request-id')
    body = await used.receive_body()
    if isinstance(body, Failed):
        return _Outcome(status=BROKEN, request_id=request_id)
    return _read_outcome(head.status, request_id, body.unwrap())


def _read_outcome(status: int, request_id: str, body: bytes) -> _Outcome:
    problem = body.rpartition(b'event: error\ndata: ')[2]
    document: dict[str, Any] = {}
    if b'"reason"' in problem:
        document = msgspec.json.decode(problem)
    return _Outcome(
        status=status,
        request_id=request_id,
        reason=document.get('reason', ''),
        ran=document.get('ran', ''),
        body=body,
    )


def _start(
    harness: EntryHarness, kind: _Kind, headers: dict[str, str] | None = None
) -> _Call:
    return asyncio.create_task(_call(harness, kind, headers))


async def _end_process(harness: EntryHarness) -> None:
    """Drain the entry, and end it like its process does."""
    await harness.entry.drain()
    await harness.entry.__aexit__(None, None, None)


async def _stop_and_collect(
    harness: EntryHarness, call: _Call, timeout_s: float
) -> _Outcome:
    """Stop the entry within its time; return what the caller got."""
    stopped_at = _now()
    await _end_process(harness)
    latest_s = _TTL_S + _MARGIN_S + timeout_s + _COMMIT_S
    assert_that(_now() - stopped_at, LessThan(latest_s))
    return await call


async def _occupy(harness: EntryHarness, kind: _Kind) -> None:
    """Have calls take all slots of the upstream that serves a kind."""
    await asyncio.sleep(1.0)
    is_engine = kind.upstream.startswith('engine')
    occupant = _STREAM if is_engine else _UNKEYED
    for _ in range(1 if is_engine else _SERVICE_SLOTS):
        _start(harness, occupant, {'persimmonhold-caller': 'other'})
    await asyncio.sleep(0.1)


async def _use_upstreams(
    harness: EntryHarness, *upstreams: ScriptedUpstream
) -> None:
    """Replace the upstreams that the entry knows."""
    harness.upstreams = upstreams
    index = harness.link.view.index + 1
    harness.link.view = msgspec.structs.replace(harness.view(), index=index)
    harness.link.view_changed.set()
    await asyncio.sleep(1.0)


async def _occupied(exchange: Exchange) -> None:
    """Never end a response; an engine sends events, so as not to be left."""
    if exchange.head.target.startswith('/v1/'):
        await _stream_for(_LONG_S)(exchange)
    await _hang(exchange)


def _build_upstream(kind: _Kind, *scripts: Script) -> ScriptedUpstream:
    """Return the upstream of a kind; an engine has one slot."""
    upstream = ScriptedUpstream(kind.upstream, *scripts)
    upstream.load_report = msgspec.structs.replace(IDLE_LOAD_REPORT, slots=1)
    return upstream


def _claims(harness: EntryHarness) -> list[Claim]:
    return list(harness.machine.state.claims.claims_by_scope.values())


def _logged_outcome(lines: _Lines, request_id: str) -> str:
    ended = [
        one['outcome']
        for one in lines
        if one['message_type'] == 'request' and one['request_id'] == request_id
    ]
    assert_that(ended, HasLength(1))
    return str(ended[0])


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('kind', _KINDS, ids=str)
@pytest.mark.parametrize('before_s', [0.0, 3.0])
def test_request_that_waits_in_admission_is_refused_as_draining(
    kind: _Kind, timeout_s: float, before_s: float, lines: _Lines
) -> None:
    upstream = _build_upstream(kind, _occupied)

    async def scenario(
        harness: EntryHarness,
    ) -> tuple[_Outcome, int, list[Claim]]:
        await _occupy(harness, kind)
        sent = upstream.executions
        call = _start(harness, kind, {'persimmonhold-class': 'batch'})
        await asyncio.sleep(before_s)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        return outcome, upstream.executions - sent, _claims(harness)

    outcome, sent, claims = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(outcome.refusal, Equals(_DRAINING))
    assert_that(sent, Equals(0))
    assert_that(_logged_outcome(lines, outcome.request_id), Equals('draining'))
    assert_that([one.released for one in claims], AllMatch(Equals(True)))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('is_answered_late', [False, True])
def test_request_that_waits_for_its_claim_is_refused_as_draining(
    timeout_s: float, is_answered_late: bool, lines: _Lines
) -> None:
    upstream = _build_upstream(_KEYED, _answer)

    async def scenario(harness: EntryHarness) -> tuple[_Outcome, list[Claim]]:
        harness.link.answers.clear()
        call = _start(harness, _KEYED)
        await asyncio.sleep(0.1)
        if is_answered_late:
            loop = asyncio.get_running_loop()
            answered_s = _TTL_S + _MARGIN_S + timeout_s + 0.1
            loop.call_later(answered_s, harness.link.answers.set)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        return outcome, _claims(harness)

    outcome, claims = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(outcome.refusal, Equals(_DRAINING))
    assert_that(upstream.executions, Equals(0))
    assert_that(_logged_outcome(lines, outcome.request_id), Equals('draining'))
    assert_that([one.released for one in claims], AllMatch(Equals(True)))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('kind', _KINDS, ids=str)
def test_request_that_connects_is_refused_as_draining(
    kind: _Kind,
    timeout_s: float,
    lines: _Lines,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'persimmonhold.entry._attempt_runner.ClientConnection',
        _HangingConnection,
    )
    monkeypatch.setattr(
        'persimmonhold.entry._attempt_runner._CONNECT_TIMEOUT_S', _LONG_S
    )
    upstream = _build_upstream(kind, _answer)

    async def scenario(harness: EntryHarness) -> tuple[_Outcome, list[Claim]]:
        call = _start(harness, kind)
        await asyncio.sleep(0.1)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        return outcome, _claims(harness)

    outcome, claims = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(outcome.refusal, Equals(_DRAINING))
    assert_that(_logged_outcome(lines, outcome.request_id), Equals('draining'))
    assert_that([one.released for one in claims], AllMatch(Equals(True)))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('kind', _KINDS, ids=str)
def test_request_without_a_response_head_is_refused_as_perhaps_run(
    kind: _Kind, timeout_s: float, lines: _Lines
) -> None:
    upstream = _build_upstream(kind, _hang)

    async def scenario(harness: EntryHarness) -> tuple[_Outcome, list[Claim]]:
        call = _start(harness, kind, {'persimmonhold-class': 'batch'})
        await asyncio.sleep(0.1)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        return outcome, _claims(harness)

    outcome, claims = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(outcome.refusal, Equals(_MAY_HAVE_RUN))
    assert_that(
        _logged_outcome(lines, outcome.request_id), Equals(outcome.reason)
    )
    assert_that(upstream.executions, Equals(1))
    assert_that([one.in_doubt for one in claims], AllMatch(Equals(True)))
    assert_that(claims, HasLength(1 if kind.key else 0))


@pytest.mark.parametrize('kind', _KINDS, ids=str)
def test_sent_request_is_answered_if_the_drain_leaves_time(kind: _Kind) -> None:
    upstream = _build_upstream(kind, _answer_after(3.0))

    async def scenario(harness: EntryHarness) -> _Outcome:
        call = _start(harness, kind)
        await asyncio.sleep(0.1)
        return await _stop_and_collect(harness, call, 5.0)

    assert_that(_run(scenario, upstream).status, Equals(200))


@pytest.mark.parametrize('kind', _REPEATABLE_KINDS, ids=str)
@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
def test_request_between_two_attempts_is_refused_as_perhaps_run(
    kind: _Kind, timeout_s: float, lines: _Lines
) -> None:
    first = _build_upstream(kind, _drop)
    second = ScriptedUpstream(kind.upstream.replace('1', '2'), _occupied)
    second.load_report = first.load_report

    async def scenario(harness: EntryHarness) -> _Outcome:
        await _use_upstreams(harness, second)
        await _occupy(harness, kind)
        await _use_upstreams(harness, first, second)
        call = _start(harness, kind, {'persimmonhold-class': 'batch'})
        await first.called.wait()
        return await _stop_and_collect(harness, call, timeout_s)

    outcome = _run(scenario, first, second, timeout_s=timeout_s)
    assert_that(outcome.refusal, Equals(_MAY_HAVE_RUN))
    assert_that(first.executions, Equals(1))
    assert_that(
        _logged_outcome(lines, outcome.request_id), Equals(outcome.reason)
    )


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
def test_preempted_request_that_waits_is_refused_as_perhaps_run(
    timeout_s: float, lines: _Lines
) -> None:
    upstream = _build_upstream(_DOCUMENT, _hang, _occupied)

    async def scenario(harness: EntryHarness) -> _Outcome:
        await asyncio.sleep(1.0)
        batch = {'persimmonhold-class': 'batch'}
        call = _start(harness, _DOCUMENT, batch)
        await upstream.called.wait()
        other = _start(harness, _STREAM)
        await asyncio.sleep(0.2)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        await other
        return outcome

    outcome = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(upstream.executions, Equals(2))
    assert_that(outcome.refusal, Equals(_MAY_HAVE_RUN))
    assert_that(
        _logged_outcome(lines, outcome.request_id), Equals(outcome.reason)
    )


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
def test_response_that_is_being_recorded_is_sent(timeout_s: float) -> None:
    answers_s = _TTL_S + _MARGIN_S + timeout_s - min(0.3 * timeout_s, 3.0)

    async def scenario(
        harness: EntryHarness, upstream: ScriptedUpstream
    ) -> tuple[_Outcome, list[Claim]]:
        call = _start(harness, _KEYED)
        await upstream.called.wait()
        harness.link.answers.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(answers_s + 2.0, harness.link.answers.set)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        return outcome, _claims(harness)

    for before_s in (0.05, 0.2, 0.5):
        script = _answer_after(answers_s - before_s)
        upstream = _build_upstream(_KEYED, script)

        async def run_scenario(
            harness: EntryHarness, upstream: ScriptedUpstream = upstream
        ) -> tuple[_Outcome, list[Claim]]:
            return await scenario(harness, upstream)

        outcome, claims = _run(run_scenario, upstream, timeout_s=timeout_s)
        assert_that(outcome.status, Equals(200))
        assert_that([one.outcome is not None for one in claims], Equals([True]))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
def test_stream_that_outlives_the_drain_ends_with_an_error_event(
    timeout_s: float, lines: _Lines
) -> None:
    upstream = _build_upstream(_STREAM, _stream_for(_LONG_S))

    async def scenario(harness: EntryHarness) -> _Outcome:
        call = _start(harness, _STREAM)
        await asyncio.sleep(0.1)
        return await _stop_and_collect(harness, call, timeout_s)

    outcome = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(outcome.refusal, Equals((200, 'deadline_exceeded', 'unknown')))
    assert_that(outcome.body, Not(Contains(b'[DONE]')))
    assert_that(
        _logged_outcome(lines, outcome.request_id), Equals(outcome.reason)
    )


@pytest.mark.parametrize('duration_s', [0.5, 2.0, 5.8])
def test_stream_that_ends_within_the_drain_is_complete(
    duration_s: float,
) -> None:
    upstream = _build_upstream(_STREAM, _stream_for(duration_s))

    async def scenario(harness: EntryHarness) -> _Outcome:
        call = _start(harness, _STREAM)
        await asyncio.sleep(0.1)
        return await _stop_and_collect(harness, call, 5.0)

    assert_that(_run(scenario, upstream).body, EndsWith(b'data: [DONE]\n\n'))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('kind', [_KEYED, _UNKEYED], ids=str)
def test_long_relayed_response_that_outlives_the_drain_is_logged(
    kind: _Kind, timeout_s: float, lines: _Lines
) -> None:
    async def relay(exchange: Exchange) -> None:
        await exchange.start_response(200, ())
        await exchange.send_body_chunk(bytes(300_000))
        await asyncio.sleep(_LONG_S)

    upstream = _build_upstream(kind, relay)

    async def scenario(harness: EntryHarness) -> tuple[_Outcome, list[Claim]]:
        call = _start(harness, kind)
        await asyncio.sleep(0.1)
        outcome = await _stop_and_collect(harness, call, timeout_s)
        return outcome, _claims(harness)

    outcome, claims = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(outcome.status, Equals(BROKEN))
    assert_that(
        _logged_outcome(lines, outcome.request_id), Equals('deadline_exceeded')
    )
    assert_that([one.in_doubt for one in claims], AllMatch(Equals(True)))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('is_answered', [False, True])
def test_detached_request_records_what_is_known_at_the_end_of_the_drain(
    timeout_s: float, is_answered: bool, lines: _Lines
) -> None:
    ends_s = _TTL_S + _MARGIN_S + timeout_s
    script = _answer_after(0.95 * ends_s) if is_answered else _hang
    upstream = _build_upstream(_KEYED, script)

    async def scenario(harness: EntryHarness) -> list[Claim]:
        connection = await _connect(harness)
        await connection.send_request(_build_request(_KEYED, {}))
        await upstream.called.wait()
        connection.close()
        await asyncio.sleep(0)
        await _end_process(harness)
        return _claims(harness)

    claims = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(
        [(one.outcome is not None, one.in_doubt) for one in claims],
        Equals([(is_answered, not is_answered)]),
    )
    ended = [one for one in lines if one['message_type'] == 'request']
    assert_that([one['outcome'] for one in ended], Equals(['abandoned']))


def test_late_outcome_of_a_refused_call_is_recorded() -> None:
    upstream = _build_upstream(_KEYED, _answer_after(5.5))

    async def scenario(harness: EntryHarness) -> tuple[_Outcome, list[Claim]]:
        call = _start(harness, _KEYED)
        await upstream.called.wait()
        outcome = await _stop_and_collect(harness, call, 5.0)
        return outcome, _claims(harness)

    outcome, claims = _run(scenario, upstream)
    assert_that(outcome.refusal, Equals(_MAY_HAVE_RUN))
    assert_that([one.outcome is not None for one in claims], Equals([True]))


@pytest.mark.parametrize('kind', _KINDS, ids=str)
def test_late_loop_in_a_drain_cuts_no_request(kind: _Kind) -> None:
    async def scenario(
        harness: EntryHarness, late_at_s: float
    ) -> tuple[_Outcome, _Outcome]:
        await _occupy(harness, kind)
        waiting = _start(harness, kind, {'persimmonhold-class': 'batch'})
        sent = _start(harness, _UNKEYED)
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        stopping = asyncio.create_task(_end_process(harness))
        await asyncio.sleep(late_at_s)
        loop.now += 1.0
        await stopping
        return await waiting, await sent

    for step in range(9):
        late_at_s = step / 2

        async def late_scenario(
            harness: EntryHarness, late_at_s: float = late_at_s
        ) -> tuple[_Outcome, _Outcome]:
            return await scenario(harness, late_at_s)

        engine = _build_upstream(_STREAM, _occupied)
        replica = _build_upstream(_IDEMPOTENT, _occupied)
        waiting, sent = _run(late_scenario, engine, replica, timeout_s=3.0)
        assert_that(waiting.refusal, Equals(_DRAINING))
        assert_that(
            sent.refusal, MatchesAny(Equals(_MAY_HAVE_RUN), Equals(_DRAINING))
        )


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('kind', _KINDS, ids=str)
@pytest.mark.parametrize('before_s', [0.1, 0.001, 0.0])
def test_request_in_the_last_moment_on_an_open_connection_is_answered(
    kind: _Kind, timeout_s: float, before_s: float
) -> None:
    upstream = _build_upstream(kind, _answer)

    async def scenario(harness: EntryHarness) -> _Outcome:
        await asyncio.sleep(1.0)
        connection = await _connect(harness)
        stopping = asyncio.create_task(_end_process(harness))
        await asyncio.sleep(_TTL_S + _MARGIN_S - before_s)
        outcome = await _call(harness, kind, connection=connection)
        await stopping
        return outcome

    outcome = _run(scenario, upstream, timeout_s=timeout_s)
    expected = [Equals((200, '', '')), Equals(_DRAINING)]
    if not before_s:
        # The connection was closed before the request was read.
        expected.append(Equals((CLOSED, '', '')))
    assert_that(outcome.refusal, MatchesAny(*expected))


@pytest.mark.parametrize('timeout_s', _TIMEOUTS_S)
@pytest.mark.parametrize('share', [0.0, 0.3, 0.6, 0.75, 0.9, 0.99])
@pytest.mark.parametrize('kind', [_STREAM, _KEYED], ids=str)
def test_body_that_ends_late_in_a_drain_is_answered(
    kind: _Kind, share: float, timeout_s: float
) -> None:
    upstream = _build_upstream(kind, _hang)

    async def scenario(harness: EntryHarness) -> bytes:
        await asyncio.sleep(1.0)
        reader, writer = await asyncio.open_connection(
            harness.entry.address.host, harness.entry.address.port
        )
        body = msgspec.json.encode(kind.document)
        stopping = asyncio.create_task(_end_process(harness))
        await asyncio.sleep(_TTL_S + _MARGIN_S - 0.1)
        writer.write(
            b'POST %s HTTP/1.1\r\nhost: a.example\r\nidempotency-key: k\r\n'
            b'persimmonhold-class: batch\r\n'
            b'content-length: %d\r\n\r\n%s'
            % (kind.target.encode(), len(body), body[:-1])
        )
        await asyncio.sleep(0.1 + share * timeout_s)
        writer.write(body[-1:])
        await stopping
        received = await reader.read()
        writer.close()
        return received[:12]

    received = _run(scenario, upstream, timeout_s=timeout_s)
    assert_that(
        received,
        MatchesAny(Equals(b'HTTP/1.1 503'), Equals(b'HTTP/1.1 504')),
    )


@pytest.mark.parametrize('kind', _KINDS, ids=str)
def test_control_that_does_not_answer_cuts_no_request(kind: _Kind) -> None:
    upstream = _build_upstream(kind, _occupied)

    async def scenario(harness: EntryHarness) -> _Outcome:
        harness.link.announce_s = 4.0
        await _occupy(harness, kind)
        call = _start(harness, kind, {'persimmonhold-class': 'batch'})
        await asyncio.sleep(0.1)
        harness.link.answers.clear()
        await _end_process(harness)
        return await call

    assert_that(_run(scenario, upstream).refusal, Equals(_DRAINING))


def test_request_that_cannot_be_served_in_a_drain_is_refused_at_once() -> None:
    upstream = _build_upstream(_UNKEYED, _answer_after(10.0), _hang)

    async def scenario(harness: EntryHarness) -> tuple[_Outcome, float]:
        await _call(harness, _UNKEYED)
        await _occupy(harness, _UNKEYED)
        batch = {'persimmonhold-class': 'batch'}
        call = _start(harness, _UNKEYED, batch)
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(_end_process(harness))
        begun_at = _now()
        outcome = await call
        refused_s = _now() - begun_at
        await stopping
        return outcome, refused_s

    outcome, refused_s = _run(scenario, upstream)
    assert_that(outcome.refusal, Equals(_DRAINING))
    assert_that(refused_s, LessThan(0.1))


def test_waiting_request_is_served_if_the_drain_leaves_time() -> None:
    upstream = _build_upstream(_DOCUMENT, _answer_after(2.0))

    async def scenario(harness: EntryHarness) -> list[_Outcome]:
        await asyncio.sleep(1.0)
        batch = {'persimmonhold-class': 'batch'}
        calls = [_start(harness, _DOCUMENT, batch) for _ in range(2)]
        await asyncio.sleep(0.1)
        await _end_process(harness)
        return [await call for call in calls]

    outcomes = _run(scenario, upstream, timeout_s=30.0)
    assert_that([one.status for one in outcomes], Equals([200, 200]))


def test_drain_that_ends_requests_is_logged(lines: _Lines) -> None:
    upstream = _build_upstream(_UNKEYED, _hang)

    async def scenario(harness: EntryHarness) -> _Outcome:
        call = _start(harness, _UNKEYED)
        await asyncio.sleep(0.1)
        return await _stop_and_collect(harness, call, 5.0)

    _run(scenario, upstream)
    phases = [one for one in lines if one['message_type'] == 'drain']
    assert_that(
        [one['phase'] for one in phases],
        Equals(['leaving', 'closing', 'ending', 'drained']),
    )
    assert_that(phases[2]['running'], Equals(1))
