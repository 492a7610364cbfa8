"""Responses whose status HTTP does not have, on each path that reads one."""

import asyncio
from typing import Final

import pytest
from returns.result import Failure as Failed
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, IsInstance

from persimmonhold.fleet import FleetOrder, FleetOrderKind, OrderVerdict
from persimmonhold.platform._names import REQUEST_ID, SIGNATURE
from persimmonhold.platform._upstream_client import PlatformUpstreamClient
from persimmonhold.routes import RouteKind
from persimmonhold.web import (
    REQUEST_ID_HEADER,
    ClientRequest,
    fetch,
    parse_address,
)
from tests.entry_builders import EntryHarness, ScriptedUpstream
from tests.forwarding_harness import (
    ROUTE_KINDS,
    ForwardingHarness,
    run_with_harness,
)
from tests.raw_upstream import EVENT_STREAM, PLAIN, RawConnection, RawUpstream
from tests.scripted_entries import CutEntry, run_cut

_STATUSES: Final = (
    '000',
    '099',
    '101',
    '600',
    '999',
    '1000',
    '20',
    '-200',
    'abc',
    '',
)
_BODY: Final = b'{}'
_TIMEOUT_S: Final = 3.0


async def _respond(
    connection: RawConnection,
    status: str,
    content_type: str = PLAIN,
    body: bytes = _BODY,
) -> None:
    """Write a whole response that is sound but for its status."""
    request_id = connection.headers.get(REQUEST_ID, '')
    lines = (
        f'HTTP/1.1 {status} Odd',
        f'{REQUEST_ID}: {request_id}',
        f'{SIGNATURE}: s1',
        f'content-type: {content_type}',
        f'content-length: {len(body)}',
        '',
        '',
    )
    await connection.write('\r\n'.join(lines).encode('ascii') + body)


@pytest.mark.parametrize('is_kept', [False, True], ids=['new', 'kept'])
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
@pytest.mark.parametrize('status', ['000', '101', '600', '999', '1000'])
def test_forwarded_request_is_answered_as_failed(
    status: str, kind: RouteKind, resumable: bool, is_kept: bool
) -> None:
    content_type = EVENT_STREAM if kind is RouteKind.stream else PLAIN

    async def serve(connection: RawConnection) -> None:
        if is_kept and connection.headers[REQUEST_ID] == 'r1':
            await connection.respond(PLAIN, 'length', _BODY)
        else:
            await _respond(connection, status, content_type)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=resumable)
        await harness.start_raw_upstream(serve, keeps_connections=True)
        if is_kept:
            await harness.send_request()
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(502))
        assert_that(answer.head.header(SIGNATURE), Equals(''))

    run_with_harness(scenario)


@pytest.mark.parametrize('status', ['000', '999'])
@pytest.mark.parametrize('kind', [RouteKind.idempotent, RouteKind.stream])
def test_repeatable_request_runs_at_another_upstream(
    kind: RouteKind, status: str
) -> None:
    arrivals: list[str] = []

    async def serve(connection: RawConnection) -> None:
        arrivals.append(connection.headers[REQUEST_ID])
        if len(arrivals) == 1:
            await _respond(connection, status)
        else:
            await connection.respond(PLAIN, 'length', _BODY)

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, attempts=2, resumable=True)
        for _ in range(2):
            await harness.start_raw_upstream(serve)
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(200))

    run_with_harness(scenario)
    assert_that(arrivals, HasLength(2))


@pytest.mark.parametrize('status', ['000', '999'])
def test_relayed_request_is_answered_as_failed(status: str) -> None:
    async def serve(connection: RawConnection) -> None:
        await _respond(connection, status)

    async def scenario(cut: CutEntry) -> None:
        cut.set_route(RouteKind.non_idempotent)
        await cut.start_others(serve, serve)
        response = await cut.send()
        assert response is not None
        assert_that(response.head.status, Equals(502))
        assert_that(sum(cut.relayed_counts), Equals(1))

    run_cut(scenario)


@pytest.mark.parametrize('status', _STATUSES)
def test_platform_calls_fail_and_orders_stay_unanswered(status: str) -> None:
    order = FleetOrder(kind=FleetOrderKind.load, model='m1', expected=0)
    listing = b'{"instances":[],"next-token":null}'

    async def serve(connection: RawConnection) -> None:
        await _respond(connection, status, body=listing)

    async def scenario() -> None:
        platform = RawUpstream('list', serve, keeps_connections=True)
        async with await platform.start():
            address = parse_address(platform.address).unwrap()
            client = PlatformUpstreamClient(address, 'vm1')
            listed = await client.read_list()
            report = await client.read_report('u1', platform.address)
            verdict = await client.send_order('u1', platform.address, order, 1)
            client.close()
        assert_that(listed, IsInstance(Failed))
        assert_that(report, IsInstance(Failed))
        assert_that(verdict, Equals(OrderVerdict.unanswered))

    asyncio.run(scenario())


@pytest.mark.parametrize('status', _STATUSES)
def test_fetch_fails(status: str) -> None:
    async def serve(connection: RawConnection) -> None:
        await _respond(connection, status)

    async def scenario() -> None:
        peer = RawUpstream('peer', serve)
        async with await peer.start():
            fetched = await fetch(
                parse_address(peer.address).unwrap(),
                ClientRequest(method='GET', target='/'),
                _TIMEOUT_S,
            )
        assert_that(fetched, IsInstance(Failed))

    asyncio.run(scenario())


@pytest.mark.parametrize('is_engine', [False, True])
@pytest.mark.parametrize('status', ['000', '101', '600', '999'])
def test_own_interface_answers_as_failed(status: str, is_engine: bool) -> None:
    async def serve(connection: RawConnection) -> None:
        await _respond(connection, status)

    async def scenario() -> None:
        raw = RawUpstream('raw', serve)
        upstream = ScriptedUpstream('engine-1' if is_engine else 's1')
        async with await raw.start(), EntryHarness(upstream) as harness:
            upstream.address = parse_address(raw.address).unwrap()
            harness.link.view = harness.view()
            harness.entry.hub.apply_view(harness.link.view)
            target = '/services/lodgements/x'
            document: object = None
            if is_engine:
                target = '/v1/completions'
                document = {'model': 'tutor', 'prompt': 'x'}
            answer = await harness.call('POST', target, document)
        assert_that(answer.head.status, Equals(502))

    asyncio.run(scenario())


def test_own_interface_does_not_send_the_request_again() -> None:
    """The upstream has run it, so another try has to be a retry."""
    arrivals: list[str] = []

    async def serve(connection: RawConnection) -> None:
        request_id = connection.headers[REQUEST_ID_HEADER]
        arrivals.append(request_id)
        status = '200' if len(arrivals) == 1 else '000'
        await connection.write(
            f'HTTP/1.1 {status} Odd\r\n{REQUEST_ID_HEADER}: {request_id}'
            '\r\ncontent-length: 0\r\n\r\n'.encode('ascii')
        )

    async def scenario() -> None:
        raw = RawUpstream('raw', serve, keeps_connections=True)
        upstream = ScriptedUpstream('s1')
        async with await raw.start(), EntryHarness(upstream) as harness:
            upstream.address = parse_address(raw.address).unwrap()
            harness.link.view = harness.view()
            harness.entry.hub.apply_view(harness.link.view)
            answers = [
                await harness.call('GET', '/services/lodgements/x')
                for _ in range(2)
            ]
        statuses = [one.head.status for one in answers]
        assert_that(statuses, Equals([200, 502]))

    asyncio.run(scenario())
    assert_that(arrivals, HasLength(2))
