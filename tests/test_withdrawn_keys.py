"""Keys that are withdrawn or moved while their requests are under way."""

import asyncio
from types import MappingProxyType
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from persimmonhold.fleet import StatedLimit
from persimmonhold.forwarding import ForwardHub
from persimmonhold.platform._names import (
    AUTHORIZATION,
    WORKSPACE,
)
from persimmonhold.routes import RouteKind, Workspace, hash_key
from tests.forwarding_harness import ForwardingHarness, run_with_harness
from tests.platform_fakes import until
from tests.raw_upstream import EVENT_STREAM, PLAIN, RawConnection

_HEADERS: Final = MappingProxyType({AUTHORIZATION: 'Bearer k1'})
_SLOTS: Final = 8  # of each upstream of the harness
_EVENTS: Final = b'id: 1\ndata: x\n\n'


def _workspace(name: str, *keys: str, priority: int = 0) -> Workspace:
    return Workspace(
        name=name,
        key_hashes=tuple(map(hash_key, keys)),
        priority=priority,
    )


def _status(answered: object) -> int:
    """Return the status of an answer, or 0 if the connection was aborted."""
    head = getattr(answered, 'value_or', lambda _: None)(None)
    return 0 if head is None else int(head.head.status)


async def _fill(
    harness: ForwardingHarness, release: asyncio.Event
) -> list[asyncio.Task[object]]:
    """Have all slots of a new upstream run requests until `release`."""

    async def script(connection: RawConnection) -> None:
        await release.wait()
        await connection.respond(PLAIN, 'length', b'done')

    upstream = await harness.start_raw_upstream(script)
    tasks: list[asyncio.Task[object]] = []
    for _ in range(_SLOTS):
        sending = harness.send_request(headers=dict(_HEADERS))
        tasks.append(asyncio.create_task(sending))
    await until(lambda: len(upstream.requests) == _SLOTS)
    return tasks


async def _until_waiting(harness: ForwardingHarness, count: int) -> None:
    await until(lambda: len(harness.hub.waiters) == count)


def test_waiting_request_is_refused_when_its_key_is_withdrawn() -> None:
    """Guards against requests that wait on until they are dequeued."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_workspaces(_workspace('first', 'k1'))
        release = asyncio.Event()
        running = await _fill(harness, release)
        waiting = asyncio.create_task(
            harness.send_request(headers=dict(_HEADERS))
        )
        await _until_waiting(harness, 1)
        harness.set_workspaces(_workspace('first', 'k2'))
        # No slot is free, so only the change of the document can wake it.
        assert_that(_status(await waiting), Equals(401))
        release.set()
        answered = {_status(await task) for task in running}
        assert_that(answered, Equals({200}))
        upstream = harness.raw_upstreams[0]
        assert_that(upstream.requests, HasLength(_SLOTS))

    run_with_harness(scenario)


def test_waiting_request_is_sent_for_the_workspace_that_holds_its_key() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_workspaces(_workspace('first', 'k1'))
        release = asyncio.Event()
        running = await _fill(harness, release)
        waiting = asyncio.create_task(
            harness.send_request(headers=dict(_HEADERS))
        )
        await _until_waiting(harness, 1)
        harness.set_workspaces(_workspace('other', 'k1'))
        release.set()
        assert_that(_status(await waiting), Equals(200))
        await asyncio.gather(*running)
        sent = harness.raw_upstreams[0].requests
        named = [request[WORKSPACE] for request in sent]
        assert_that(named[-2:], Equals(['first', 'other']))

    run_with_harness(scenario)


def test_waiting_request_needs_a_key_once_workspaces_are_configured() -> None:
    """Guards requests that were taken in by a document without workspaces."""

    async def scenario(harness: ForwardingHarness) -> None:
        release = asyncio.Event()
        running = await _fill(harness, release)
        keys = ('k1', 'k2')
        waiting = [
            asyncio.create_task(
                harness.send_request(headers={AUTHORIZATION: f'Bearer {key}'})
            )
            for key in keys
        ]
        await _until_waiting(harness, len(keys))
        harness.set_workspaces(_workspace('first', 'k1'))
        release.set()
        answered = [_status(await task) for task in waiting]
        assert_that(answered, Equals([200, 401]))
        await asyncio.gather(*running)
        last = harness.raw_upstreams[0].requests[-1]
        assert_that(last[WORKSPACE], Equals('first'))
        assert_that(AUTHORIZATION in last, Equals(False))

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ('may_have_run', 'status'), [(False, 401), (True, 502)]
)
def test_request_is_not_sent_again_once_its_key_is_withdrawn(
    may_have_run: bool, status: int
) -> None:
    """Guards the promise of 401, and retries without a valid key."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.idempotent, attempts=2)
        harness.set_workspaces(_workspace('first', 'k1'))

        async def script(connection: RawConnection) -> None:
            harness.set_workspaces(_workspace('first', 'k2'))
            if not may_have_run:
                await connection.refuse()

        for _ in range(2):
            await harness.start_raw_upstream(script)
        answered = await harness.send_request(headers=dict(_HEADERS))
        assert_that(_status(answered), Equals(status))
        sent = [len(one.requests) for one in harness.raw_upstreams]
        assert_that(sum(sent), Equals(1))

    run_with_harness(scenario)


def test_key_is_checked_again_after_an_upstream_was_chosen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the time between the choice of an upstream and the sending."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_workspaces(_workspace('first', 'k1'))

        async def script(connection: RawConnection) -> None:
            await connection.respond(PLAIN, 'length', b'done')

        upstream = await harness.start_raw_upstream(script)
        find_limit = harness.hub.find_stated_limit

        def withdraw(_: ForwardHub, number: int) -> StatedLimit | None:
            harness.set_workspaces(_workspace('first', 'k2'))
            return find_limit(number)

        monkeypatch.setattr(ForwardHub, 'find_stated_limit', withdraw)
        answered = await harness.send_request(headers=dict(_HEADERS))
        assert_that(_status(answered), Equals(401))
        assert_that(upstream.requests, Equals([]))

    run_with_harness(scenario)


def test_running_stream_goes_on_and_a_broken_one_is_not_resumed() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.stream, attempts=2, resumable=True)
        for is_broken in (False, True):
            harness.set_workspaces(_workspace('first', 'k1'))

            async def script(
                connection: RawConnection, is_broken: bool = is_broken
            ) -> None:
                await connection.write_head(EVENT_STREAM, 'chunks')
                await connection.write_body(_EVENTS, 'chunks')
                harness.set_workspaces(_workspace('first', 'k2'))
                await asyncio.sleep(0.05)
                if not is_broken:
                    await connection.write_body(_EVENTS, 'chunks')
                    await connection.write(b'0\r\n\r\n')

            harness.raw_upstreams.clear()
            for _ in range(2):
                await harness.start_raw_upstream(script)
            answered = await harness.send_request(headers=dict(_HEADERS))
            expected = 0 if is_broken else 200
            assert_that(_status(answered), Equals(expected))
            sent = [len(one.requests) for one in harness.raw_upstreams]
            assert_that(sum(sent), Equals(1))

    run_with_harness(scenario)


def test_paused_stream_has_no_hedge_once_its_key_is_withdrawn() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.stream, attempts=3, resumable=True)
        harness.set_workspaces(_workspace('first', 'k1'))

        async def script(connection: RawConnection) -> None:
            await connection.write_head(EVENT_STREAM, 'chunks')
            await connection.write_body(_EVENTS, 'chunks')
            harness.set_workspaces(_workspace('first', 'k2'))
            # A hedge is sent after a pause of one second.
            await asyncio.sleep(1.5)
            await connection.write_body(_EVENTS, 'chunks')
            await connection.write(b'0\r\n\r\n')

        for _ in range(2):
            await harness.start_raw_upstream(script)
        answered = await harness.send_request(headers=dict(_HEADERS))
        assert_that(_status(answered), Equals(200))
        sent = [len(one.requests) for one in harness.raw_upstreams]
        assert_that(sum(sent), Equals(1))

    run_with_harness(scenario)


def test_request_with_a_key_is_refused_while_no_document_is_known() -> None:
    """Guards callers against 401 or 404 from an entry that just started."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.clear_routes()
        for headers in ({}, dict(_HEADERS)):
            answered = await harness.send_request(headers=headers)
            assert_that(_status(answered), Equals(503))

    run_with_harness(scenario)
