"""An entry on loopback: answers, failures, claims, drain, callers."""

import asyncio
from collections.abc import Awaitable
from types import MappingProxyType
from typing import Final, TypeVar

import eliot
import msgspec
import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    EndsWith,
    Equals,
    HasLength,
    LessThan,
    Not,
)

from persimmonhold.observability import metric
from persimmonhold.settings import CallerSettings
from persimmonhold.web import (
    ClientConnection,
    ClientRequest,
    Exchange,
    FetchedResponse,
    StallWatch,
    encode_headers,
)
from tests.entry_builders import (
    ANY_PORT,
    TIMEOUT_S,
    EntryWorld,
    Script,
    ScriptedUpstream,
)

_STREAM_HEADERS = encode_headers({'content-type': 'text/event-stream'})
_ASK: Final = MappingProxyType({
    'model': 'tutor',
    'stream': True,
    'prompt': 'Check.',
})
_DONE = b'data: [DONE]\n\n'
_TOKENS = 5
_ResultT = TypeVar('_ResultT')


def _run(scenario: Awaitable[_ResultT]) -> _ResultT:
    async def bounded() -> _ResultT:
        return await asyncio.wait_for(scenario, TIMEOUT_S)

    return asyncio.run(bounded())


def _event(index: int) -> bytes:
    return b'data: {"token": %d}\n\n' % index


_WHOLE = b''.join(_event(index) for index in range(_TOKENS)) + _DONE


def _stream(until: int = _TOKENS, tail: bytes = b'') -> Script:
    """Stream tokens from the resume offset; break off after `until`."""

    async def script(exchange: Exchange) -> None:
        offset = exchange.head.header('persimmonhold-resume-offset') or '0'
        await exchange.start(200, _STREAM_HEADERS)
        for index in range(int(offset), until):
            await exchange.send(_event(index))
        if until < _TOKENS:
            await exchange.send(tail or b': \n\n')
            await asyncio.sleep(0)
            exchange.abort()
            return
        await exchange.send(_DONE)
        await exchange.finish()

    return script


def _once(first: Script, then: Script) -> Script:
    """Answer the first call by `first` and all others by `then`."""
    scripts = [first]

    async def script(exchange: Exchange) -> None:
        await (scripts.pop() if scripts else then)(exchange)

    return script


async def _echo(exchange: Exchange) -> None:
    body = (await exchange.read_body()).unwrap()
    await exchange.respond(200, body)


async def _drop(exchange: Exchange) -> None:
    exchange.abort()


async def _hang(exchange: Exchange) -> None:
    await asyncio.Event().wait()


async def _deny(exchange: Exchange) -> None:
    headers = encode_headers({'persimmonhold-ran': 'no'})
    await exchange.respond_json(503, {}, headers)


async def _cut_body(exchange: Exchange) -> None:
    await exchange.start(200, encode_headers({'content-length': '100'}))
    await exchange.send(b'half')
    await asyncio.sleep(0)
    exchange.abort()


async def _fail(exchange: Exchange) -> None:
    await exchange.respond_json(503, {})


def _reason(response: FetchedResponse) -> str:
    document: dict[str, str] = msgspec.json.decode(response.body)
    assert_that(
        response.head.header('persimmonhold-ran'),
        Equals(document['ran']),
    )
    return f'{document["reason"]} {document["ran"]}'


@pytest.mark.parametrize(
    'first',
    [
        _drop,
        _fail,
        _deny,
        _stream(until=0),
        _stream(until=3),
        _stream(until=3, tail=b'data: {"tok'),
        _stream(until=2, tail=b'event: error\ndata: {}\n\n'),
    ],
)
def test_broken_stream_is_resumed_with_every_token_once(
    first: Script,
) -> None:
    script = _once(first, _stream())
    one = ScriptedUpstream('engine-1', script)
    two = ScriptedUpstream('engine-2', script)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(one, two) as world:
            return await world.call('POST', '/v1/completions', _ASK)

    response = _run(scenario())
    assert_that(response.body.replace(b': \n\n', b''), Equals(_WHOLE))
    assert_that(one.executions + two.executions, Equals(2))


def test_stream_that_cannot_be_finished_ends_with_an_error_event() -> None:
    only = ScriptedUpstream('engine-1', _stream(until=3))

    async def scenario() -> FetchedResponse:
        async with EntryWorld(only) as world:
            return await world.call('POST', '/v1/completions', _ASK)

    response = _run(scenario())
    assert_that(response.body, Contains(b'event: error\ndata: {'))
    assert_that(response.body, Not(Contains(b'[DONE]')))


@pytest.mark.parametrize(
    ('script', 'method', 'expected', 'executions'),
    [
        (_drop, 'POST', 'outcome_unknown unknown', 1),
        (_cut_body, 'POST', 'outcome_unknown unknown', 1),
        (_deny, 'POST', 'upstream_failed no', 2),
        (_drop, 'GET', 'upstream_failed unknown', 2),
    ],
)
def test_calls_are_refused_by_what_is_certain(
    script: Script,
    method: str,
    expected: str,
    executions: int,
) -> None:
    one = ScriptedUpstream('replica-1', script)
    two = ScriptedUpstream('replica-2', script)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(one, two) as world:
            return await world.call(method, '/services/lodgements/a')

    response = _run(scenario())
    assert_that(_reason(response), Equals(expected))
    assert_that(one.executions + two.executions, Equals(executions))


def test_key_sent_to_nine_entries_at_once_runs_once() -> None:
    replicas = [
        ScriptedUpstream(f'replica-{number}', _echo) for number in range(3)
    ]

    async def scenario() -> tuple[list[FetchedResponse], FetchedResponse]:
        async with EntryWorld(*replicas, entries=9) as world:
            sent = await asyncio.gather(
                *(_lodge(world, entry) for entry in range(9)),
            )
            return sent, await _lodge(world, 4)

    first, resent = _run(scenario())
    assert_that(sum(one.executions for one in replicas), Equals(1))
    answered = [one for one in first if one.head.status == 200]
    assert_that({one.body for one in answered}, Equals({resent.body}))
    refused = {_reason(one) for one in first if one.head.status != 200}
    assert_that(refused, Equals({'outcome_unknown unknown'}))
    assert_that(
        resent.head.header('persimmonhold-replayed'),
        Equals('whole'),
    )


async def _lodge(
    world: EntryWorld,
    entry: int = 0,
    litres: int = 3,
) -> FetchedResponse:
    return await world.call(
        'POST',
        '/services/lodgements/returns',
        {'litres': litres},
        {'idempotency-key': 'one', 'persimmonhold-caller': 'bottler'},
        entry,
    )


def test_same_key_with_other_content_is_a_conflict() -> None:
    replica = ScriptedUpstream('replica-1', _echo)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(replica) as world:
            await _lodge(world)
            return await _lodge(world, litres=4)

    response = _run(scenario())
    assert_that(_reason(response), Equals('idempotency_key_conflict no'))
    assert_that(response.head.status, Equals(409))


def test_without_quorum_nothing_runs_and_the_key_stays_free() -> None:
    replica = ScriptedUpstream('replica-1', _echo)

    async def scenario() -> tuple[FetchedResponse, int, FetchedResponse]:
        async with EntryWorld(replica) as world:
            world.link.loses_answers = True
            refused = await _lodge(world)
            run = replica.executions
            await world.link.ended.wait()
            return refused, run, await _lodge(world)

    refused, run, resent = _run(scenario())
    assert_that(_reason(refused), Equals('no_quorum no'))
    assert_that(run, Equals(0))
    assert_that(resent.head.status, Equals(200))


def test_answer_lost_after_execution_leaves_the_key_in_doubt() -> None:
    replica = ScriptedUpstream('replica-1', _drop, _echo)

    async def scenario() -> list[FetchedResponse]:
        async with EntryWorld(replica, entries=2) as world:
            first = await _lodge(world)
            return [first, await _lodge(world, 1)]

    for response in _run(scenario()):
        assert_that(_reason(response), Equals('outcome_unknown unknown'))
    assert_that(replica.executions, Equals(1))


async def _begin(
    world: EntryWorld,
    target: str,
    document: object,
    headers: dict[str, str] | None = None,
) -> ClientConnection:
    connected = await ClientConnection.connect(world.entry.address, TIMEOUT_S)
    connection = connected.unwrap()
    request = ClientRequest(
        method='POST',
        target=target,
        headers=encode_headers(headers or {}),
        body=msgspec.json.encode(document, enc_hook=dict),
    )
    (await connection.send(request)).unwrap()
    return connection


def test_caller_that_leaves_a_claimed_call_finds_its_outcome_later() -> None:
    proceed = asyncio.Event()

    async def slow(exchange: Exchange) -> None:
        await proceed.wait()
        await _echo(exchange)

    replica = ScriptedUpstream('replica-1', slow)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(replica) as world:
            headers = {
                'idempotency-key': 'one',
                'persimmonhold-caller': 'bottler',
            }
            target = '/services/lodgements/returns'
            connection = await _begin(world, target, {'litres': 3}, headers)
            await replica.called.wait()
            connection.close()
            proceed.set()
            await world.link.ended.wait()
            return await _lodge(world)

    assert_that(_run(scenario()).head.status, Equals(200))
    assert_that(replica.executions, Equals(1))


def test_caller_that_leaves_cancels_its_stream_upstream() -> None:
    engine = ScriptedUpstream('engine-1', _hang)

    async def scenario() -> tuple[int, float]:
        async with EntryWorld(engine) as world:
            connection = await _begin(world, '/v1/completions', _ASK)
            await engine.called.wait()
            connection.close()
            await engine.gone.wait()
            await world.entry.handler.wait_for_detached()
            abandoned = world.metrics.counter_value(
                metric.REQUESTS,
                service_class='interactive',
                outcome='abandoned',
            )
            return len(world.entry.hub), abandoned

    assert_that(_run(scenario()), Equals((0, 1)))


def test_deadline_refuses_at_once_and_cancels_upstream() -> None:
    engine = ScriptedUpstream('engine-1', _hang)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(engine) as world:
            headers = {'persimmonhold-deadline-ms': '40'}
            response = await world.call(
                'POST',
                '/v1/completions',
                _ASK,
                headers,
            )
            await engine.gone.wait()
            return response

    response = _run(scenario())
    assert_that(_reason(response), Equals('deadline_exceeded unknown'))
    assert_that(response.head.header('retry-after'), Equals('1'))


async def _turn_loop() -> None:
    for _ in range(500):
        await asyncio.sleep(0)


async def _refused_connection(world: EntryWorld) -> None:
    """Wait until the entry takes no more connections."""
    listening = True
    while listening:
        connected = await ClientConnection.connect(
            world.entry.address,
            TIMEOUT_S,
        )
        listening = isinstance(connected, Success)
        connected.map(ClientConnection.close)


def test_slow_caller_holds_up_its_upstream_and_no_other() -> None:
    sent: list[int] = []
    chunk = b'data: ' + b'x' * 65_536 + b'\n\n'

    async def flood(exchange: Exchange) -> None:
        await exchange.start(200, _STREAM_HEADERS)
        while True:
            await exchange.send(chunk)
            sent.append(len(chunk))

    engine = ScriptedUpstream('engine-1', flood, _stream())

    async def scenario() -> FetchedResponse:
        async with EntryWorld(engine) as world:
            slow = await _begin(world, '/v1/completions', _ASK)
            (await slow.receive_head()).unwrap()
            before = -1
            while before < len(sent):
                before = len(sent)
                await _turn_loop()
            other = await world.call('POST', '/v1/completions', _ASK)
            slow.close()
            return other

    assert_that(_run(scenario()).body, Equals(_WHOLE))
    assert_that(sum(sent), LessThan(16_000_000))


def test_drain_finishes_a_stream_and_refuses_no_one_before() -> None:
    proceed = asyncio.Event()

    async def held(exchange: Exchange) -> None:
        await exchange.start(200, _STREAM_HEADERS)
        await exchange.send(_event(0))
        await proceed.wait()
        await exchange.send(_WHOLE[len(_event(0)) :])
        await exchange.finish()

    engine = ScriptedUpstream('engine-1', held)

    async def scenario() -> tuple[bytes, bool, int]:
        async with EntryWorld(engine) as world:
            stream = await _begin(world, '/v1/completions', _ASK)
            (await stream.receive_head()).unwrap()
            drained = asyncio.ensure_future(world.entry.drain())
            await _refused_connection(world)
            early = drained.done()
            proceed.set()
            body = (await stream.receive_body()).unwrap()
            await drained
            return body, early, world.entry.running

    body, early, running = _run(scenario())
    assert_that(body, Equals(_WHOLE))
    assert_that((early, running), Equals((False, 0)))


def test_open_connection_is_served_and_told_to_close_before_it_ends() -> None:
    replica = ScriptedUpstream('replica-1', _echo)
    callers = CallerSettings(directory_ttl_s=0.01, drain_margin_s=600)

    async def scenario() -> list[str]:
        async with EntryWorld(replica, callers=callers) as world:
            kept = await _begin(world, '/services/lodgements/a', 1)
            told = [await _told(kept)]
            drained = asyncio.ensure_future(world.entry.drain())
            while 'close' not in told:
                again = ClientRequest(
                    method='GET',
                    target='/services/lodgements/a',
                )
                (await kept.send(again)).unwrap()
                told.append(await _told(kept))
            drained.cancel()
            return told

    told = _run(scenario())
    assert_that(set(told), Equals({'', 'close'}))
    assert_that(replica.executions, Equals(len(told)))


async def _told(connection: ClientConnection) -> str:
    head = (await connection.receive_head()).unwrap()
    assert_that(head.status, Equals(200))
    (await connection.receive_body()).unwrap()
    return head.header('connection')


def test_isolated_entry_refuses_and_is_not_ready() -> None:
    engine = ScriptedUpstream('engine-1', _stream())

    async def scenario() -> tuple[FetchedResponse, ...]:
        async with EntryWorld(engine) as world:
            world.link.is_isolated = True
            return (
                await world.call('POST', '/v1/completions', _ASK),
                await world.call('GET', '/v1/models'),
                await world.call('GET', '/readyz'),
            )

    refused, models, ready = _run(scenario())
    assert_that(_reason(refused), Equals('isolated no'))
    assert_that(_reason(models), Equals('isolated no'))
    assert_that(ready.head.status, Equals(503))


def test_headers_of_one_connection_do_not_pass_and_the_query_does() -> None:
    replica = ScriptedUpstream('replica-1', _echo)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(replica) as world:
            return await world.call(
                'PUT',
                '/services/lodgements/a%2Fb?x=1&y',
                {'a': 1},
                {
                    'connection': 'x-secret',
                    'x-secret': '1',
                    'x-kept': '2',
                    'persimmonhold-request-id': 'forged',
                },
            )

    response = _run(scenario())
    seen = replica.headers[0]
    assert_that(replica.targets, Equals(['/a%2Fb?x=1&y']))
    assert_that(seen, Not(Contains(b'x-secret')))
    assert_that(seen[b'x-kept'], Equals(b'2'))
    request_id = response.head.header('persimmonhold-request-id')
    assert_that(seen[b'persimmonhold-request-id'], Equals(request_id.encode()))
    assert_that(request_id, HasLength(24))


def test_repeatable_calls_reuse_a_connection_and_others_never_do() -> None:
    replica = ScriptedUpstream('replica-1', _echo)

    async def scenario() -> None:
        async with EntryWorld(replica) as world:
            for method in ('GET', 'GET', 'POST', 'POST'):
                await world.call(method, '/services/lodgements/a')

    _run(scenario())
    peers = replica.connections
    assert_that(peers[0], Equals(peers[1]))
    assert_that(set(peers), HasLength(3))


@pytest.mark.parametrize(
    ('method', 'target', 'document', 'headers', 'status'),
    [
        ('POST', '/v1/completions', {'model': 'none'}, {}, 404),
        ('POST', '/v1/completions', {'prompt': 'x'}, {}, 400),
        ('GET', '/v1/completions', None, {}, 400),
        ('GET', '/services/none/a', None, {}, 404),
        ('GET', '/nowhere', None, {}, 404),
        (
            'POST',
            '/v1/completions',
            _ASK,
            {'persimmonhold-deadline-ms': '-1'},
            400,
        ),
        (
            'POST',
            '/v1/completions',
            _ASK,
            {'persimmonhold-class': 'first'},
            400,
        ),
        ('GET', '/services/lodgements/' + 'x' * 17_000, None, {}, 413),
        ('POST', '/services/lodgements/a', 'x' * 5_000_000, {}, 413),
    ],
)
def test_bad_requests_get_typed_refusals(
    method: str,
    target: str,
    document: object,
    headers: dict[str, str],
    status: int,
) -> None:
    replica = ScriptedUpstream('replica-1', _echo)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(replica) as world:
            return await world.call(method, target, document, headers)

    response = _run(scenario())
    assert_that(response.head.status, Equals(status))
    assert_that(_reason(response), EndsWith(' no'))
    assert_that(
        response.head.header('persimmonhold-request-id'),
        HasLength(24),
    )
    assert_that(replica.executions, Equals(0))


def test_head_request_gets_the_length_and_no_body() -> None:
    replica = ScriptedUpstream('replica-1', _echo)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(replica) as world:
            return await world.call('HEAD', '/services/lodgements/a')

    response = _run(scenario())
    assert_that(response.head.status, Equals(200))
    assert_that(response.body, Equals(b''))


@pytest.mark.parametrize(
    ('path', 'executions'),
    [
        ('status/1', 2),
        ('status/../lodge', 1),
        ('status/%2e%2E/lodge', 1),
        ('status//lodge', 1),
        ('./status', 1),
    ],
)
def test_path_that_may_be_rewritten_is_not_taken_as_idempotent(
    path: str,
    executions: int,
) -> None:
    one = ScriptedUpstream('replica-1', _drop)
    two = ScriptedUpstream('replica-2', _drop)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(one, two) as world:
            return await world.call('GET', f'/services/lodgements/{path}')

    assert_that(_reason(_run(scenario())), EndsWith(' unknown'))
    assert_that(one.executions + two.executions, Equals(executions))


async def _no_content(exchange: Exchange) -> None:
    await exchange.respond(204)


async def _measured_stream(exchange: Exchange) -> None:
    length = encode_headers({'content-length': str(len(_WHOLE))})
    await exchange.start(200, (*_STREAM_HEADERS, *length))
    await exchange.send(_WHOLE[:30])
    await asyncio.sleep(0)
    exchange.abort()


def test_answer_without_body_stays_without() -> None:
    replica = ScriptedUpstream('replica-1', _no_content)

    async def scenario() -> FetchedResponse:
        async with EntryWorld(replica) as world:
            return await world.call('POST', '/services/lodgements/a')

    response = _run(scenario())
    assert_that(response.head.status, Equals(204))
    assert_that(response.head.header('content-length'), Equals(''))


def test_stream_of_announced_length_is_resumed_like_any_other() -> None:
    script = _once(_measured_stream, _stream())
    engines = [
        ScriptedUpstream(f'engine-{number}', script) for number in (1, 2)
    ]

    async def scenario() -> FetchedResponse:
        async with EntryWorld(*engines) as world:
            return await world.call('POST', '/v1/completions', _ASK)

    assert_that(_run(scenario()).body, Equals(_WHOLE))


def test_document_that_breaks_is_generated_again() -> None:
    script = _once(_cut_body, _echo)
    engines = [
        ScriptedUpstream(f'engine-{number}', script) for number in (1, 2)
    ]
    asked = {'model': 'tutor', 'prompt': 'Check.'}

    async def scenario() -> FetchedResponse:
        async with EntryWorld(*engines) as world:
            return await world.call('POST', '/v1/completions', asked)

    assert_that(msgspec.json.decode(_run(scenario()).body), Equals(asked))


def test_batch_preemption_stops_and_resumes_a_stream() -> None:
    pause = asyncio.Event()

    async def held(exchange: Exchange) -> None:
        await exchange.start(200, _STREAM_HEADERS)
        await exchange.send(_event(0) + _event(1))
        pause.set()
        await asyncio.Event().wait()

    engine = ScriptedUpstream('engine-1', held, _stream())

    async def scenario() -> bytes:
        async with EntryWorld(engine) as world:
            stream = await _begin(world, '/v1/completions', _ASK)
            await pause.wait()
            seen = (await stream.receive_head()).unwrap()
            assert_that(seen.status, Equals(200))
            first = (await stream.receive_chunk()).unwrap()
            world.preempt_all()
            return first + (await stream.receive_body()).unwrap()

    assert_that(_run(scenario()), Equals(_WHOLE))
    assert_that(engine.offsets, Equals(['', '2']))


@pytest.mark.parametrize(('is_paused', 'expected'), [(False, 1), (True, 0)])
def test_silent_upstream_is_noticed_unless_the_caller_holds_it_up(
    is_paused: bool,
    expected: int,
) -> None:
    async def scenario() -> int:
        loop = asyncio.get_running_loop()
        connection = ClientConnection(ANY_PORT)
        connection.is_paused = is_paused
        noticed = asyncio.Event()
        with StallWatch(connection, 0.004, noticed.set):
            over = loop.create_future()
            loop.call_later(0.04, over.set_result, None)
            await over
        return int(noticed.is_set())

    assert_that(_run(scenario()), Equals(expected))


def test_request_that_is_not_taken_in_is_logged() -> None:
    logged: list[dict[str, object]] = []
    eliot.add_destinations(logged.append)

    async def scenario() -> FetchedResponse:
        async with EntryWorld() as world:
            asked = {**_ASK, 'model': 'nobody'}
            return await world.call('POST', '/v1/completions', asked)

    try:
        refused = _run(scenario())
    finally:
        eliot.remove_destination(logged.append)
    # The first destination also receives what was logged before it.
    request_id = refused.head.header('persimmonhold-request-id')
    outcomes = [
        one['outcome'] for one in logged if one.get('request_id') == request_id
    ]
    assert_that(refused.head.status, Equals(404))
    assert_that(outcomes, Equals(['unknown_model']))
