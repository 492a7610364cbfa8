"""Requests that an entry without upstreams has other entries run."""

import asyncio
import itertools
from types import MappingProxyType
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    Is,
    LessThan,
    Not,
)

from persimmonhold.fleet import RetryBounds
from persimmonhold.observability import metric
from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import RouteKind
from persimmonhold.web import RELAYED_FOR_HEADER, Exchange, encode_headers
from tests.raw_upstream import (
    EVENT_STREAM,
    PLAIN,
    RawConnection,
    RawUpstream,
)
from tests.scripted_entries import (
    BODY,
    CutEntry,
    refuse,
    run_cut,
    wait_until,
)
from tests.upstream_links import HANG, UpstreamLink

_EVENT: Final = b'id: %d\ndata: x\n\n'
_FIRST_EVENT: Final = b'id: 1\ndata: x\n\n'
_PROMISES: Final = (408, 421, 425, 429, 503)
_SLOW_S: Final = 0.3  # less than a connection attempt lasts


async def _answer(connection: RawConnection) -> None:
    await connection.respond(PLAIN, 'length', BODY)


async def _hang(connection: RawConnection) -> None:
    await asyncio.sleep(30)


# A refusal of an entry that is believed has its status and `Retry-After`.


@pytest.mark.parametrize(
    ('status', 'reason'), [(429, 'quota'), (503, 'no_capacity')]
)
@pytest.mark.parametrize('kind', list(RouteKind))
def test_proven_refusal_reaches_the_caller_with_its_retry_after(
    kind: RouteKind, status: int, reason: str
) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def refuse_it(connection: RawConnection) -> None:
            await refuse(
                connection,
                status,
                persimmonhold_refusal_reason=reason,
                retry_after='0.37',
            )

        cut.set_route(kind, attempts=2)
        await cut.start_others(refuse_it, refuse_it)
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(status))
        assert_that(response.head.header('retry-after'), Equals('0.37'))
        assert_that(sum(cut.relayed_counts), Equals(1))
        for name, _ in response.head.headers:
            assert_that(name.decode(), Not(Contains('persimmonhold')))

    run_cut(scenario)


_UNPROVEN: Final = MappingProxyType({
    'earlier build': {
        'persimmonhold_request_id': '',
        'persimmonhold_ran': '',
        'persimmonhold_refusal_reason': '',
    },
    'other request': {'persimmonhold_request_id': 'other'},
    'no request': {'persimmonhold_request_id': ''},
    'named without proof': {'persimmonhold_ran': ''},
    'may have run': {'persimmonhold_ran': 'unknown'},
})


@pytest.mark.parametrize('status', _PROMISES)
@pytest.mark.parametrize('case', list(_UNPROVEN))
def test_unproven_refusal_is_no_promise_to_the_caller(
    case: str, status: int
) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def refuse_it(connection: RawConnection) -> None:
            await refuse(connection, status, **_UNPROVEN[case])

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(refuse_it, refuse_it)
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(502))
        assert_that(response.head.header('retry-after'), Equals(''))
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


@pytest.mark.parametrize('status', [200, 204, 302])
def test_success_that_states_it_did_not_run_is_not_passed_on(
    status: int,
) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def refuse_it(connection: RawConnection) -> None:
            await refuse(connection, status, content_length='2')

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(refuse_it)
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(502))

    run_cut(scenario)


@pytest.mark.parametrize(
    'reason', ['', 'caf\xe9', '"}{"', 'x' * 2000, 'a b', 'No_Capacity']
)
def test_unreadable_reason_of_a_refusal_does_not_break_the_response(
    reason: str,
) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def refuse_it(connection: RawConnection) -> None:
            await refuse(connection, 503, persimmonhold_refusal_reason=reason)

        await cut.start_others(refuse_it)
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(503))
        assert_that(response.body, Equals(b'{"error":"refused"}'))

    run_cut(scenario)


@pytest.mark.parametrize('status', [500, 502, 504])
def test_failure_of_the_other_entry_is_passed_on_once(status: int) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def fail(connection: RawConnection) -> None:
            await refuse(connection, status, persimmonhold_ran='unknown')

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(fail, fail)
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(status))
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


# Connections that break.


async def _reset_before_head(connection: RawConnection) -> None:
    connection.reset()
    connection.writer.close()


async def _reset_in_head(connection: RawConnection) -> None:
    await connection.write(b'HTTP/1.1 200 OK\r\ncontent-le')
    await asyncio.sleep(0.02)
    await _reset_before_head(connection)


async def _reset_in_body(connection: RawConnection) -> None:
    await connection.write_head(PLAIN, 'length', len(BODY))
    await connection.write(BODY[:-1])
    await asyncio.sleep(0.02)
    await _reset_before_head(connection)


async def _reset_in_refusal(connection: RawConnection) -> None:
    await connection.write(b'HTTP/1.1 503 Refused\r\npersimmonhold-ran: no\r\n')
    await asyncio.sleep(0.02)
    await _reset_before_head(connection)


@pytest.mark.parametrize(
    'script',
    [_reset_before_head, _reset_in_head, _reset_in_body, _reset_in_refusal],
)
@pytest.mark.parametrize(
    'kind', [RouteKind.non_idempotent, RouteKind.idempotent]
)
def test_broken_relay_is_never_a_promise_or_a_success(
    kind: RouteKind, script: object
) -> None:
    async def scenario(cut: CutEntry) -> None:
        cut.set_route(kind)
        await cut.start_others(script, script)  # type: ignore[arg-type]
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(502))
        assert_that(response.head.header('retry-after'), Equals(''))
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('resumable', [True, False])
def test_stream_that_the_other_entry_breaks_off_is_not_complete(
    resumable: bool, is_reset: bool
) -> None:
    async def scenario(cut: CutEntry) -> None:
        async def break_off(connection: RawConnection) -> None:
            await connection.write_head(EVENT_STREAM, 'chunks')
            await connection.write_body(_FIRST_EVENT, 'chunks')
            await asyncio.sleep(0.05)
            if is_reset:
                connection.reset()
            connection.writer.close()

        cut.set_route(RouteKind.stream, attempts=3, resumable=resumable)
        await cut.start_others(break_off, break_off)
        reader, writer = await cut.open_request()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readuntil(b'0\r\n\r\n')
        writer.close()
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


@pytest.mark.parametrize('framing', ['length', 'chunks', 'connection'])
def test_long_response_that_breaks_off_is_not_complete(framing: str) -> None:
    """What is too long to be kept is passed on before its end is known."""

    async def scenario(cut: CutEntry) -> None:
        part = b'x' * 300_000

        async def break_off(connection: RawConnection) -> None:
            await connection.write_head(PLAIN, framing, 2 * len(part))
            await connection.write_body(part, framing)
            await asyncio.sleep(0.05)
            await _reset_before_head(connection)

        cut.set_route(RouteKind.idempotent, attempts=3)
        await cut.start_others(break_off, break_off)
        response = await cut.send()
        assert_that(response, Is(None))
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


def test_response_to_another_request_reaches_no_caller() -> None:
    """An entry behind a faulty link answers with an earlier response."""

    async def scenario(cut: CutEntry) -> None:
        async def answer_first(connection: RawConnection) -> None:
            connection.headers[REQUEST_ID] = 'first'
            await _answer(connection)

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(answer_first)
        first = await cut.send('first')
        assert first is not None
        assert_that(first.head.status, Equals(200))
        second = await cut.send('second')
        assert second is not None
        assert_that(second.head.status, Equals(502))

    run_cut(scenario)


def test_late_copy_of_a_response_reaches_no_caller() -> None:
    async def scenario(cut: CutEntry) -> None:
        async def answer_twice(connection: RawConnection) -> None:
            await _answer(connection)
            await _answer(connection)

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(answer_twice)
        for name in ('first', 'second', 'third'):
            response = await cut.send(name)
            assert response is not None
            assert_that(response.head.status, Equals(200))
            assert_that(response.head.header(REQUEST_ID), Equals(name))
            await asyncio.sleep(0.02)

    run_cut(scenario)


def test_copied_refusal_does_not_answer_the_request_when_it_comes_again() -> (
    None
):
    async def scenario(cut: CutEntry) -> None:
        async def refuse_twice(connection: RawConnection) -> None:
            if connection.number == 1:
                await refuse(connection)
                await asyncio.sleep(0.05)
                await refuse(connection)
            else:
                await _answer(connection)

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(refuse_twice)
        first = await cut.send('again')
        assert first is not None
        assert_that(first.head.status, Equals(503))
        second = await cut.send('again')
        assert second is not None
        assert_that(second.head.status, Equals(200))

    run_cut(scenario)


# Entries that do not answer.


def test_entry_that_does_not_answer_gets_few_of_the_following_requests() -> (
    None
):
    """A frozen process still has its connections accepted."""

    async def scenario(cut: CutEntry) -> None:
        await cut.start_others(_hang, _answer, _answer)
        sent = []
        for number in range(60):
            sent.append(
                asyncio.create_task(cut.send(f'r{number}', deadline_ms=1000))
            )
            await asyncio.sleep(0.05)
        answers = await asyncio.gather(*sent)
        served = sum(
            answer is not None and answer.head.status == 200
            for answer in answers
        )
        assert_that(cut.relayed_counts[0], LessThan(7))
        assert_that(served, GreaterThan(53))

    run_cut(scenario)


@pytest.mark.parametrize('script', [_reset_before_head, _reset_in_head])
def test_entry_that_breaks_connections_gets_few_of_the_following_requests(
    script: object,
) -> None:
    async def scenario(cut: CutEntry) -> None:
        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(script, _answer)  # type: ignore[arg-type]
        for number in range(20):
            await cut.send(f'r{number}')
        assert_that(cut.relayed_counts[0], LessThan(4))

    run_cut(scenario)


def test_entries_that_are_slow_all_alike_are_still_asked() -> None:
    """Where upstreams are slow, no entry is to blame, and all are needed."""

    async def scenario(cut: CutEntry) -> None:
        async def answer_late(connection: RawConnection) -> None:
            await asyncio.sleep(0.7)
            await _answer(connection)

        await cut.start_others(answer_late, answer_late)
        await asyncio.gather(
            *(cut.send(f'a{number}', deadline_ms=400) for number in range(6))
        )
        answers = await asyncio.gather(
            *(cut.send(f'b{number}') for number in range(10))
        )
        assert_that(
            {answer and answer.head.status for answer in answers},
            Equals({200}),
        )

    run_cut(scenario)


def test_entry_that_closed_an_idle_connection_is_not_left_out() -> None:
    """A stale connection is no sign that the entry cannot take requests."""

    async def scenario(cut: CutEntry) -> None:
        async def answer_then_write(connection: RawConnection) -> None:
            await _answer(connection)
            if connection.headers[REQUEST_ID] == 'first':
                await asyncio.sleep(0.05)
                await connection.write(b'x')

        await cut.start_others(answer_then_write)
        await cut.send('first')
        await asyncio.sleep(0.1)
        second = await cut.send('second')
        assert second is not None
        assert_that(second.head.status, Equals(200))

    run_cut(scenario)


@pytest.mark.parametrize(
    'kind', [RouteKind.non_idempotent, RouteKind.idempotent]
)
def test_refused_connection_moves_on_to_another_entry(kind: RouteKind) -> None:
    async def scenario(cut: CutEntry) -> None:
        cut.set_route(kind)
        await cut.start_others(_answer, _answer)
        cut.others[0].address = '127.0.0.1:1'
        cut.set_view()
        for number in range(10):
            answer = await cut.send(f'r{number}')
            assert answer is not None
            assert_that(answer.head.status, Equals(200))
        assert_that(cut.relayed_counts, Equals([0, 10]))

    run_cut(scenario)


@pytest.mark.parametrize(
    'reason', ['stopping', 'isolated', 'out_of_reach', 'no_route']
)
def test_entry_that_cannot_take_requests_is_asked_again_a_second_later(
    reason: str,
) -> None:
    """An entry that stops, is cut off or knows an older configuration."""

    async def scenario(cut: CutEntry) -> None:
        unable = True

        async def refuse_it(connection: RawConnection) -> None:
            if unable:
                await refuse(
                    connection, 503, persimmonhold_refusal_reason=reason
                )
            else:
                await _answer(connection)

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(refuse_it, refuse_it)
        for number in range(10):
            answer = await cut.send(f'r{number}')
            assert answer is not None
            assert_that(answer.head.status, Equals(503))
            after = float(answer.head.header('retry-after'))
            assert_that(after, GreaterThan(0.3))
        assert_that(cut.relayed_counts, Equals([1, 1]))
        unable = False
        await asyncio.sleep(1.1)
        answer = await cut.send('last')
        assert answer is not None
        assert_that(answer.head.status, Equals(200))

    run_cut(scenario)


# Deadlines, bounds and streams.


def test_other_entry_gets_no_more_time_than_is_left() -> None:
    async def scenario(cut: CutEntry) -> None:
        await cut.start_others(_answer)
        for deadline_ms, most_ms in ((700, 700), (60_000, 5000)):
            await cut.send(deadline_ms=deadline_ms)
            given = int(cut.others[0].requests[-1]['deadline-ms'])
            assert_that(given, GreaterThan(most_ms - 400))
            assert_that(given, LessThan(most_ms + 1))

    run_cut(scenario)


def test_second_relay_gets_only_the_time_that_is_left() -> None:
    async def scenario(cut: CutEntry) -> None:
        async def refuse_late(connection: RawConnection) -> None:
            await asyncio.sleep(0.3)
            await refuse(
                connection, 503, persimmonhold_refusal_reason='stopping'
            )

        await cut.start_others(refuse_late, refuse_late)
        await cut.send(deadline_ms=1000)
        given = [int(other.requests[0]['deadline-ms']) for other in cut.others]
        assert_that(min(given), LessThan(701))

    run_cut(scenario)


@pytest.mark.parametrize('kind', list(RouteKind))
def test_deadline_of_a_relayed_request_is_no_promise(kind: RouteKind) -> None:
    async def scenario(cut: CutEntry) -> None:
        cut.set_route(kind, attempts=3)
        await cut.start_others(_hang, _hang)
        response = await cut.send(deadline_ms=300)
        assert response is not None
        assert_that(response.head.status, Equals(504))
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


def test_events_are_passed_on_as_they_arrive() -> None:
    async def scenario(cut: CutEntry) -> None:
        has_read = asyncio.Event()

        async def stream(connection: RawConnection) -> None:
            await connection.write_head(EVENT_STREAM, 'chunks')
            for number in range(1, 4):
                await connection.write_body(_EVENT % number, 'chunks')
                await has_read.wait()
                has_read.clear()
            await connection.write(b'0\r\n\r\n')

        cut.set_route(RouteKind.stream)
        await cut.start_others(stream)
        reader, writer = await cut.open_request()
        async with asyncio.timeout(3):
            for number in range(1, 4):
                await reader.readuntil(_EVENT % number)
                has_read.set()
            await reader.readuntil(b'0\r\n\r\n')
        writer.close()

    run_cut(scenario)


@pytest.mark.parametrize('has_begun', [True, False])
def test_caller_that_leaves_ends_the_run_at_the_other_entry(
    has_begun: bool,
) -> None:
    async def scenario(cut: CutEntry) -> None:
        ended = asyncio.Event()
        begun = asyncio.Event()

        async def stream(exchange: Exchange) -> None:
            await exchange.read_body()
            own = {
                REQUEST_ID: exchange.head.header(REQUEST_ID),
                'content-type': EVENT_STREAM,
            }
            try:
                if has_begun:
                    exchange.start_response_nowait(200, encode_headers(own))
                    exchange.write_body_chunk(_FIRST_EVENT)
                begun.set()
                await asyncio.sleep(30)
            finally:
                ended.set()

        cut.set_route(RouteKind.stream)
        await cut.start_served_other(stream)
        reader, writer = await cut.open_request()
        await begun.wait()
        if has_begun:
            await reader.readuntil(_FIRST_EVENT)
        writer.close()
        async with asyncio.timeout(0.5):
            await ended.wait()

    run_cut(scenario)


def test_caller_that_reads_slowly_pauses_only_its_own_stream() -> None:
    async def scenario(cut: CutEntry) -> None:
        written: dict[str, int] = {}

        async def stream(connection: RawConnection) -> None:
            name = connection.headers[REQUEST_ID]
            await connection.write_head(EVENT_STREAM, 'chunks')
            for number in range(400):
                event = b'id: %d\ndata: %b\n\n' % (number, b'x' * 65_536)
                await connection.write_body(event, 'chunks')
                written[name] = number + 1
            await connection.write(b'0\r\n\r\n')

        cut.set_route(RouteKind.stream)
        await cut.start_others(stream)
        _, slow_writer = await cut.open_request('slow', 5000)
        await wait_until(lambda: 'slow' in written)
        answer = await cut.send('fast')
        assert answer is not None
        assert_that(written['fast'], Equals(400))
        assert_that(len(answer.body), GreaterThan(400 * 65_536))
        assert_that(written['slow'], LessThan(400))
        slow_writer.transport.abort()

    run_cut(scenario)


def test_many_relayed_requests_leave_a_bounded_number_of_connections() -> None:
    async def scenario(cut: CutEntry) -> None:
        await cut.start_others(_answer)
        answers = await asyncio.gather(
            *(cut.send(f'r{number}') for number in range(200))
        )
        assert_that(
            {answer and answer.head.status for answer in answers},
            Equals({200}),
        )
        assert_that(len(cut.harness.services.pool), LessThan(17))

    run_cut(scenario)


def test_broken_relay_is_repeated_only_within_the_retry_budget() -> None:
    async def scenario(cut: CutEntry) -> None:
        cut.set_route(RouteKind.idempotent, attempts=2)
        budget = cut.harness.hub.dispatcher.retry_budget('models')
        budget.bounds = RetryBounds(slack=5)
        await cut.start_others(*itertools.repeat(_reset_before_head, 3))
        for number in range(30):
            await cut.send(f'r{number}')
        repeats = sum(cut.relayed_counts) - 30
        assert_that(repeats, GreaterThan(0))
        assert_that(repeats, LessThan(6))

    run_cut(scenario)


def test_relay_sends_each_header_of_the_caller_but_those_of_the_system() -> (
    None
):
    async def scenario(cut: CutEntry) -> None:
        await cut.start_others(_answer)
        await cut.send(
            'mine',
            headers={
                'persimmonhold-request-id': 'forged',
                'authorization': 'Bearer k',
                'x-own': '1',
            },
        )
        got = cut.others[0].requests[0]
        assert_that(got[RELAYED_FOR_HEADER], Equals('127.0.0.1'))
        assert_that(got['persimmonhold-request-id'], Equals('mine'))
        assert_that(got['authorization'], Equals('Bearer k'))
        assert_that(got['x-own'], Equals('1'))
        assert_that(got[REQUEST_ID], Equals('mine'))
        assert_that(got['host'], Equals('a.example'))

    run_cut(scenario)


def test_request_that_claims_to_be_relayed_is_not_relayed() -> None:
    """It may come from an entry that is not known here yet, in a circle."""

    async def scenario(cut: CutEntry) -> None:
        await cut.start_others(_answer)
        response = await cut.send(headers={RELAYED_FOR_HEADER: '9.9.9.9'})
        assert response is not None
        assert_that(response.head.status, Equals(503))
        assert_that(cut.relayed_counts, Equals([0]))

    run_cut(scenario)


def test_ends_of_relays_are_counted() -> None:
    async def scenario(cut: CutEntry) -> None:
        await cut.start_others(_answer)
        await cut.send()
        counted = cut.harness.services.metrics.counter_value(
            metric.RELAYS, end='delivered'
        )
        assert_that(counted, Equals(1))

    run_cut(scenario)


def test_sound_entry_is_found_among_many_that_are_cut_off_too() -> None:
    """Most entries of a failure domain may be cut off together."""

    async def scenario(cut: CutEntry) -> None:
        async def refuse_it(connection: RawConnection) -> None:
            await refuse(
                connection, 503, persimmonhold_refusal_reason='out_of_reach'
            )

        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(*itertools.repeat(refuse_it, 8), _answer)
        served = 0
        for number in range(60):
            answer = await cut.send(f'r{number}')
            served += answer is not None and answer.head.status == 200
            await asyncio.sleep(0.05)
        assert_that(served, GreaterThan(56))
        assert_that(sum(cut.relayed_counts[:-1]), LessThan(17))

    run_cut(scenario)


def test_entry_that_accepts_no_connection_delays_few_requests() -> None:
    async def scenario(cut: CutEntry) -> None:
        link = UpstreamLink(RawUpstream('none', _answer))
        await link.open()
        link.cut(HANG)
        await cut.start_others(_answer, _answer)
        cut.others.append(RawUpstream('hung', _answer))
        cut.others[-1].address = link.address
        cut.set_view()
        loop = asyncio.get_running_loop()
        slow = 0
        for number in range(40):
            began_at = loop.time()
            answer = await cut.send(f'r{number}')
            assert answer is not None
            assert_that(answer.head.status, Equals(200))
            slow += loop.time() - began_at > _SLOW_S
            await asyncio.sleep(0.05)
        link.close()
        assert_that(slow, LessThan(3))

    run_cut(scenario)
