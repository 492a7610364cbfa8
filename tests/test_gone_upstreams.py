"""Kept connections to an upstream that is gone without a reset."""

import asyncio
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import RouteKind
from persimmonhold.upstreams import ConnectionPool
from persimmonhold.web import ClientConnection, FetchedResponse, parse_address
from tests.forwarding_harness import ForwardingHarness, run_with_harness
from tests.raw_upstream import (
    PLAIN,
    RawConnection,
    RawScript,
    RawUpstream,
)

_OVERDUE_S: Final = 0.9  # twice the target of the route, and some more
_BODY: Final = b'{}'
_BUSY_S: Final = 0.05


class GoneUpstream:
    """Answers until it is gone; then its connections carry nothing."""

    def __init__(self) -> None:
        self.is_gone = False
        self.has_two = asyncio.Event()
        self.is_back = asyncio.Event()
        self.arrived: list[str] = []
        self.numbers: list[int] = []

    async def serve(self, connection: RawConnection) -> None:
        """Respond, once two requests have arrived so that each has its own."""
        self.arrived.append(connection.headers[REQUEST_ID])
        self.numbers.append(connection.number)
        if self.is_gone:
            await self.is_back.wait()
        if len(self.arrived) == 2:
            self.has_two.set()
        await self.has_two.wait()
        await connection.respond(PLAIN, 'length', _BODY)


async def _find_gone(
    harness: ForwardingHarness,
    upstream: GoneUpstream,
    other: RawScript | None = None,
) -> None:
    """Keep two connections, and have a request on one of them be overdue.

    With `other`, there is another upstream by then, and new connections to the
    first one are refused.
    """
    harness.set_route(RouteKind.idempotent, attempts=1)
    await harness.start_raw_upstream(upstream.serve, keeps_connections=True)
    await asyncio.gather(harness.send_request(), harness.send_request())
    upstream.is_gone = True
    overdue = asyncio.create_task(harness.send_request())
    await asyncio.sleep(_BUSY_S)
    if other is not None:
        harness.raw_servers[0].close()
        await harness.start_raw_upstream(other)
    await asyncio.wait_for(overdue, _OVERDUE_S + 1)
    assert_that(sorted(set(upstream.numbers)), Equals([1, 2]))


async def _send_once(
    harness: ForwardingHarness, kind: RouteKind
) -> FetchedResponse:
    harness.set_route(kind, attempts=1)
    return (await harness.send_request(deadline_ms=1000)).unwrap()


@pytest.mark.parametrize(
    'kind', [RouteKind.stream, RouteKind.non_idempotent], ids=str
)
def test_calls_are_not_written_to_an_upstream_that_is_known_to_be_gone(
    kind: RouteKind,
) -> None:
    """A new connection tells that it is gone, so another upstream runs them."""

    async def serve_soundly(connection: RawConnection) -> None:
        await asyncio.sleep(_BUSY_S)
        await connection.respond(PLAIN, 'length', _BODY)

    async def scenario(harness: ForwardingHarness) -> None:
        upstream = GoneUpstream()
        await _find_gone(harness, upstream, serve_soundly)
        harness.set_route(kind, attempts=2)
        answers = await asyncio.gather(
            *(harness.send_request(deadline_ms=1500) for _ in range(8))
        )
        statuses = [answer.unwrap().head.status for answer in answers]
        assert_that(set(statuses), Equals({200}))
        assert_that(upstream.arrived, Equals(['r1', 'r2', 'r3']))
        upstream.is_back.set()

    run_with_harness(scenario)


@pytest.mark.parametrize(
    'kind', [RouteKind.stream, RouteKind.non_idempotent], ids=str
)
def test_upstream_that_was_only_silent_is_sent_calls_again(
    kind: RouteKind,
) -> None:
    """A guard: they share a connection that was opened since."""

    async def scenario(harness: ForwardingHarness) -> None:
        upstream = GoneUpstream()
        await _find_gone(harness, upstream)
        upstream.is_gone = False
        upstream.is_back.set()
        for _ in range(2):
            answer = await _send_once(harness, kind)
            assert_that(answer.head.status, Equals(200))
        assert_that(upstream.arrived[3:], Equals(['r4', 'r5']))
        assert_that(upstream.numbers[3:], Equals([3, 3]))

    run_with_harness(scenario)


def test_request_that_is_overdue_later_does_not_hide_a_later_silence() -> None:
    """The time in which a response is due differs between routes."""

    async def scenario() -> None:
        upstream = RawUpstream('r0', GoneUpstream().serve)
        async with await upstream.start():
            peer = parse_address(upstream.address).unwrap()
            opened = (await ClientConnection.connect(peer, 1)).unwrap()
            pool = ConnectionPool()
            pool.release(opened, 100.5)
            pool.record_silence(peer, 101.0, 101.2)
            pool.record_silence(peer, 100.0, 101.3)
            found = pool.acquire(peer, 101.4, is_repeatable=False)
            assert_that(found, Is(None))
            assert_that(pool.acquire(peer, 101.4), Is(opened))
            opened.close()

    asyncio.run(scenario())
