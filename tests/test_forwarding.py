"""The path of a request through an entry, over the platform's dialect."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Result
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from persimmonhold.failures import Failure
from persimmonhold.forwarding import EventFramer
from persimmonhold.platform._names import (
    EXPECTED_PROCESS,
    NOT_RUN,
    REQUEST_ID,
    SIGNATURE,
)
from persimmonhold.routes import RouteKind
from persimmonhold.web import Exchange, FetchedResponse, encode_headers
from tests.forwarding_harness import ForwardingHarness, Script

Answered = Result[FetchedResponse, Failure]


def _run(scenario: Callable[[ForwardingHarness], Awaitable[None]]) -> None:
    async def play() -> None:
        async with ForwardingHarness() as world:
            await scenario(world)

    asyncio.run(play())


async def _answer(
    exchange: Exchange,
    status: int,
    body: bytes = b'done',
    headers: dict[str, str] | None = None,
) -> None:
    own = {
        REQUEST_ID: exchange.head.header(REQUEST_ID),
        SIGNATURE: 's1',
        **(headers or {}),
    }
    await exchange.read_body()
    await exchange.respond(status, body, 'text/plain', encode_headers(own))


def _answers(
    status: int,
    body: bytes = b'done',
    headers: dict[str, str] | None = None,
) -> Script:
    async def script(exchange: Exchange) -> None:
        await _answer(exchange, status, body, headers)

    return script


def _events(first: int, last: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: x%d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


async def _stream(exchange: Exchange, first: int, last: int) -> None:
    await exchange.read_body()
    own = {
        REQUEST_ID: exchange.head.header(REQUEST_ID),
        SIGNATURE: 's1',
        'content-type': 'text/event-stream',
    }
    await exchange.start(200, encode_headers(own))
    await exchange.send(_events(first, last))


def test_body_and_signature_pass_unchanged() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        async def script(exchange: Exchange) -> None:
            body = (await exchange.read_body()).unwrap()
            await _answer(exchange, 200, body)

        upstream = await world.start_upstream(script)
        answer = (await world.send_request(b'\x00opaque\xff')).unwrap()
        assert_that(answer.body, Equals(b'\x00opaque\xff'))
        assert_that(answer.head.header(SIGNATURE), Equals('s1'))
        assert_that(
            upstream.heads[0].header(EXPECTED_PROCESS),
            Equals(upstream.name),
        )

    _run(scenario)


def test_deadline_passed_on_is_what_is_left() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        upstream = await world.start_upstream(_answers(200))
        await world.send_request(deadline_ms=900)
        left_ms = int(upstream.heads[0].header('deadline-ms'))
        assert_that(0 < left_ms <= 900, Is(True))

    _run(scenario)


@pytest.mark.parametrize(
    ('kind', 'sent'),
    [(RouteKind.idempotent, 2), (RouteKind.non_idempotent, 1)],
)
def test_only_what_may_repeat_is_sent_again_after_a_broken_answer(
    kind: RouteKind,
    sent: int,
) -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(kind, attempts=2)
        heads: list[str] = []

        async def broken(exchange: Exchange) -> None:
            await exchange.read_body()
            heads.append(exchange.head.header(REQUEST_ID))
            exchange.abort()

        await world.start_upstream(broken)
        await world.start_upstream(broken)
        answer = (await world.send_request()).unwrap()
        assert_that(len(heads), Equals(sent))
        assert_that(answer.head.status, Equals(502))

    _run(scenario)


def test_refusal_by_the_upstream_is_no_run() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.non_idempotent)

        await world.start_upstream(_answers(503, b'', {NOT_RUN: '1'}))
        await world.start_upstream(_answers(200))
        for _ in range(6):
            answer = (await world.send_request()).unwrap()
            assert_that(answer.head.status, Equals(200))

    _run(scenario)


def test_answer_to_another_request_reaches_nobody() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.non_idempotent)

        await world.start_upstream(_answers(200, headers={REQUEST_ID: 'other'}))
        answer = (await world.send_request()).unwrap()
        assert_that(answer.head.status, Equals(502))
        assert_that(answer.body, Not(Contains(b'done')))

    _run(scenario)


def test_success_without_a_signature_is_no_success() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.non_idempotent)

        await world.start_upstream(_answers(200, headers={SIGNATURE: ''}))
        answer = (await world.send_request()).unwrap()
        assert_that(answer.head.status, Equals(502))

    _run(scenario)


def test_failure_of_the_upstream_keeps_its_status() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.idempotent, attempts=2)

        upstream = await world.start_upstream(_answers(500, b'why'))
        answer = (await world.send_request()).unwrap()
        assert_that(answer.head.status, Equals(500))
        assert_that(answer.body, Equals(b'why'))
        assert_that(len(upstream.heads), Equals(1))

    _run(scenario)


def test_broken_stream_goes_on_elsewhere_with_each_event_once() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.stream, attempts=2, resumable=True)

        async def script(exchange: Exchange) -> None:
            after = int(exchange.head.header('last-event-id') or 0)
            if after:
                await _stream(exchange, after + 1, 9)
                await exchange.finish()
                return
            await _stream(exchange, 1, 4)
            await exchange.send(b'id: 5\nda')
            exchange.abort()

        await world.start_upstream(script)
        await world.start_upstream(script)
        answer = (await world.send_request()).unwrap()
        assert_that(answer.body, Equals(_events(1, 9)))

    _run(scenario)


def test_broken_stream_that_may_not_repeat_never_looks_whole() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.stream)

        async def script(exchange: Exchange) -> None:
            await _stream(exchange, 1, 4)
            exchange.abort()

        await world.start_upstream(script)
        await world.start_upstream(script)
        answered = await world.send_request()
        assert_that(answered.value_or(None), Is(None))
        sent = sum(len(one.heads) for one in world.upstreams)
        assert_that(sent, Equals(1))

    _run(scenario)


def test_request_is_ended_at_the_time_of_its_route() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.non_idempotent, timeout_ms=100)

        async def hang(exchange: Exchange) -> None:
            await exchange.read_body()
            await asyncio.Event().wait()

        await world.start_upstream(hang)
        answer = (await world.send_request()).unwrap()
        assert_that(answer.head.status, Equals(504))

    _run(scenario)


def test_caller_that_leaves_frees_its_upstream() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.non_idempotent)
        begun = asyncio.Event()
        left = asyncio.Event()

        async def hang(exchange: Exchange) -> None:
            begun.set()
            try:
                await asyncio.Event().wait()
            finally:
                left.set()

        await world.start_upstream(hang)
        asking = asyncio.create_task(world.send_request())
        await begun.wait()
        asking.cancel()
        async with asyncio.timeout(5):
            await left.wait()

    _run(scenario)


def test_leaving_upstream_gets_no_new_work() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        leaving = await world.start_upstream(_answers(200))
        staying = await world.start_upstream(_answers(200))
        world.mark_leaving(leaving)
        for _ in range(8):
            await world.send_request()
        assert_that(len(leaving.heads), Equals(0))
        assert_that(len(staying.heads), Equals(8))

    _run(scenario)


def test_entry_without_routes_does_not_say_not_found() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.clear_routes()
        answer = (await world.send_request()).unwrap()
        assert_that(answer.head.status, Equals(503))
        assert_that(answer.head.header('retry-after'), Not(Equals('')))

    _run(scenario)


def test_unknown_route_is_not_found() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        answer = (await world.send_request(target='/none/x')).unwrap()
        assert_that(answer.head.status, Equals(404))

    _run(scenario)


def test_headers_of_the_system_are_not_taken_from_callers() -> None:
    async def scenario(world: ForwardingHarness) -> None:
        upstream = await world.start_upstream(_answers(200))
        await world.send_request(headers={'hold': 'h1', 'x-kept': 'yes'})
        assert_that(upstream.heads[0].header('hold'), Equals(''))
        assert_that(upstream.heads[0].header('x-kept'), Equals('yes'))

    _run(scenario)


@given(
    cuts=st.lists(st.integers(0, 200), max_size=12),
    count=st.integers(1, 9),
)
def test_relay_returns_whole_events_whatever_the_reads(
    cuts: list[int],
    count: int,
) -> None:
    whole = _events(1, count)
    relay = EventFramer()
    places = sorted({min(cut, len(whole)) for cut in cuts} | {len(whole)})
    start = 0
    returned = b''
    for place in places:
        returned += relay.feed(whole[start:place])
        start = place
        assert_that(returned == b'' or returned.endswith(b'\n\n'), Is(True))
    assert_that(returned, Equals(whole))
    assert_that(relay.last_id, Equals(str(count)))


class RandomUpstream:
    """Answers as the faulty workers of the platform do, drawn by a seed."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.runs: dict[str, int] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Run a request, or not, and answer truly, falsely or never."""
        request_id = exchange.head.header(REQUEST_ID)
        fate = self.source.choice(
            ('sound', 'sound', 'full', 'early', 'lost', 'stray', 'failed'),
        )
        if fate == 'early':
            exchange.abort()
            return
        await exchange.read_body()
        if fate == 'full':
            await _answer(exchange, 503, b'', {NOT_RUN: '1'})
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if fate == 'lost':
            exchange.abort()
        elif fate == 'stray':
            await _answer(exchange, 200, headers={REQUEST_ID: 'other'})
        else:
            await _answer(exchange, 200 if fate == 'sound' else 500)


@pytest.mark.parametrize('seed', range(8))
def test_calls_run_at_most_once_and_refusals_are_true(seed: int) -> None:
    """Whatever upstreams do to calls that may not be repeated."""

    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.non_idempotent, attempts=3)
        upstream = RandomUpstream(seed)
        for _ in range(3):
            await world.start_upstream(upstream.serve)
        for _ in range(25):
            before = next(world.request_numbers)
            answered = await world.send_request()
            runs = upstream.runs.get(f'r{before + 1}', 0)
            assert_that(runs <= 1, Is(True))
            answer = answered.value_or(None)
            if answer is not None and answer.head.status in {429, 503}:
                assert_that(runs, Equals(0))
            if answer is not None and answer.head.status == 200:
                assert_that(runs, Equals(1))

    _run(scenario)


@pytest.mark.parametrize('status', [200, 500])
def test_plain_answer_to_a_resumption_never_completes_the_stream(
    status: int,
) -> None:
    async def scenario(world: ForwardingHarness) -> None:
        world.set_route(RouteKind.stream, attempts=2, resumable=True)

        async def script(exchange: Exchange) -> None:
            if exchange.head.header('last-event-id'):
                await _answer(exchange, status, b'no events')
                return
            await _stream(exchange, 1, 4)
            exchange.abort()

        await world.start_upstream(script)
        await world.start_upstream(script)
        answered = await world.send_request()
        assert_that(answered.value_or(None), Is(None))

    _run(scenario)
