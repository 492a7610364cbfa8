"""Keys and workspaces through the platform adapter, over sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.platform import _names as names
from persimmonhold.web import ClientRequest, RequestHead, fetch, parse_address
from tests.platform_fakes import (
    HOST,
    REQUEST_TIMEOUT_S,
    FakePlatform,
    FakeWorker,
    make_configuration,
    until,
)

Scenario = Callable[[FakePlatform, FakeWorker], Awaitable[None]]
_KEY = 'Bearer k1'


def _run(directory: Path, scenario: Scenario) -> None:
    """Run a scenario with control, an entry and a plain upstream."""

    async def run_scenario() -> None:
        async with FakePlatform(directory) as platform:
            worker = await platform.start_worker('app')
            await platform.start_vms('c1', 'e1')
            await scenario(platform, worker)

    asyncio.run(run_scenario())


def _make_configuration(version: int, **tenants: list[str]) -> dict[str, Any]:
    """Return a configuration with a public route and keys by workspace."""
    document = make_configuration(version)
    public = {
        **document['routes'][0],
        'name': 'open',
        'path-prefix': '/open/',
        'public': True,
    }
    document['routes'].append(public)
    if tenants:
        document['tenants'] = [
            {'name': name, 'api-keys': keys} for name, keys in tenants.items()
        ]
    return document


async def _put(platform: FakePlatform, document: dict[str, Any]) -> None:
    """Put a configuration, and wait until the entry serves by it."""
    status = await platform.put_configuration(document)
    assert_that(status, Equals(200))
    entry = platform.vms['e1'].entry
    assert entry is not None
    await until(
        lambda: (
            entry.handler.route_table.document.version == document['version']
            and entry.is_ready
        )
    )


async def _send(
    platform: FakePlatform, target: str, *headers: tuple[bytes, bytes]
) -> int:
    """Send a request with any headers; return the status."""
    request = ClientRequest(
        method='POST',
        target=target,
        headers=(
            (b'Attempt-Id', b'r%d' % next(platform.request_numbers)),
            (b'Deadline-Ms', b'5000'),
            *headers,
        ),
        body=b'question',
        host=HOST,
    )
    address = parse_address(platform.address('e1', 1)).unwrap()
    answer = (await fetch(address, request, REQUEST_TIMEOUT_S)).unwrap()
    return answer.head.status


def _list_received(head: RequestHead) -> list[tuple[bytes, bytes]]:
    """Return the headers for keys and workspaces that an upstream got."""
    wanted = {names.AUTHORIZATION.encode(), names.WORKSPACE.encode()}
    return [pair for pair in head.headers if pair[0] in wanted]


@pytest.mark.parametrize(
    'sent',
    [
        (),
        ((b'Tenant', b'other'),),
        ((b'Tenant', b'other'), (b'TENANT', b'second')),
        ((b'tenant', b'first'),),
        ((b'Connection', b'tenant, authorization'), (b'Tenant', b'other')),
    ],
    ids=str,
)
def test_upstream_gets_the_workspace_of_the_key_and_no_key(
    tmp_path: Path, sent: tuple[tuple[bytes, bytes], ...]
) -> None:
    """Guards against callers that name a workspace, and keys that leak."""

    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        await _put(platform, _make_configuration(3, first=['k0', 'k1']))
        key = (b'Authorization', _KEY.encode())
        status = await _send(platform, '/app/x', key, *sent)
        assert_that(status, Equals(200))
        assert_that(
            _list_received(worker.heads[0]), Equals([(b'tenant', b'first')])
        )

    _run(tmp_path, scenario)


def test_key_and_workspace_of_the_caller_are_dropped_on_public_routes(
    tmp_path: Path,
) -> None:
    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        await _put(platform, _make_configuration(3, first=['k1']))
        for key in (b'Bearer k1', b'Bearer unknown'):
            sent = ((b'Authorization', key), (b'Tenant', b'first'))
            assert_that(await _send(platform, '/open/x', *sent), Equals(200))
        assert_that(await _send(platform, '/open/x'), Equals(200))
        received = [_list_received(head) for head in worker.heads]
        assert_that(received, Equals([[], [], []]))

    _run(tmp_path, scenario)


@pytest.mark.parametrize(
    'headers',
    [
        (),
        ((b'Authorization', b'Bearer unknown'),),
        ((b'Authorization', b'Bearer K1'),),
        ((b'Authorization', b'Bearer'),),
        ((b'Authorization', b'k1'),),
        ((b'Authorization', b'Basic k1'),),
        ((b'Authorization', b'Bearer k1, Bearer k1'),),
        ((b'Authorization', b'Bearer k1'), (b'Authorization', b'Bearer k1')),
        ((b'Authorization', b'Bearer \xff\xfe'),),
        ((b'Tenant', b'first'),),
    ],
    ids=str,
)
def test_request_without_a_valid_key_is_refused_and_not_forwarded(
    tmp_path: Path, headers: tuple[tuple[bytes, bytes], ...]
) -> None:
    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        await _put(platform, _make_configuration(3, first=['k1']))
        status = await _send(platform, '/app/x', *headers)
        assert_that((status, worker.heads), Equals((401, [])))
        missing = await _send(platform, '/nowhere/x', *headers)
        assert_that(missing, Equals(404))

    _run(tmp_path, scenario)


def test_scheme_of_a_key_is_compared_without_case(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        await _put(platform, _make_configuration(3, first=['k1']))
        for value in (b'bearer k1', b'BEARER  k1'):
            status = await _send(platform, '/app/x', (b'Authorization', value))
            assert_that(status, Equals(200))

    _run(tmp_path, scenario)


def test_headers_pass_unchanged_without_workspaces(tmp_path: Path) -> None:
    """Guards deployments that send these headers to their own upstreams."""

    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        document = _make_configuration(3)
        document['tenants'] = []
        await _put(platform, document)
        sent = (
            (b'Authorization', b'Bearer own'),
            (b'Tenant', b'one'),
            (b'Tenant', b'two'),
        )
        for target in ('/app/x', '/open/x'):
            assert_that(await _send(platform, target, *sent), Equals(200))
        expected = [(name.lower(), text) for name, text in sent]
        received = [_list_received(head) for head in worker.heads]
        assert_that(received, Equals([expected, expected]))

    _run(tmp_path, scenario)


def test_key_that_moves_names_its_new_workspace_and_a_withdrawn_one_none(
    tmp_path: Path,
) -> None:
    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        key = (b'Authorization', _KEY.encode())
        await _put(platform, _make_configuration(3, first=['k1'], other=['k2']))
        assert_that(await _send(platform, '/app/x', key), Equals(200))
        await _put(platform, _make_configuration(4, first=['k2'], other=['k1']))
        assert_that(await _send(platform, '/app/x', key), Equals(200))
        await _put(platform, _make_configuration(5, first=['k2']))
        assert_that(await _send(platform, '/app/x', key), Equals(401))
        received = [_list_received(head) for head in worker.heads]
        assert_that(
            received,
            Equals([[(b'tenant', b'first')], [(b'tenant', b'other')]]),
        )

    _run(tmp_path, scenario)


def test_urgency_follows_the_workspace_then_the_route(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        engine = await platform.start_worker('models', 'm1')
        document = _make_configuration(3, first=['k1'], other=['k2'])
        for tenant, priority in zip(document['tenants'], (7, 2), strict=True):
            tenant['priority'] = priority
        for priority, name in ((0, 'fast'), (5, 'slow')):
            route = dict(document['routes'][1])
            route.update({
                'name': name,
                'path-prefix': f'/{name}/',
                'priority': priority,
            })
            document['routes'].append(route)
        document['routes'] = [
            route
            for route in document['routes']
            if route['name'] in {'plain', 'fast', 'slow'}
        ]
        await _put(platform, document)
        levels = []
        for key in (b'k2', b'k1'):
            for target in ('/fast/x', '/slow/x'):
                status = await _send(
                    platform,
                    target,
                    (b'Authorization', b'Bearer %b' % key),
                    (b'Model', b'm1'),
                    (b'Request-Urgency', b'0'),
                )
                assert_that(status, Equals(200))
                head = engine.heads[-1]
                levels.append(int(head.header(names.URGENCY)))
        assert_that(levels, Equals([0, 1, 2, 3]))

    _run(tmp_path, scenario)


@pytest.mark.parametrize(
    'tenants',
    [
        [{'name': 'a', 'api-keys': ['k1']}, {'name': 'b', 'api-keys': ['k1']}],
        [{'name': 'a', 'api-keys': ['k1']}, {'name': 'a', 'api-keys': ['k2']}],
        [{'name': 'a', 'api-keys': ['k1', 'k1']}],
        [{'name': 'a', 'api-keys': ['']}],
        [{'name': '', 'api-keys': ['k1']}],
        [{'name': 'a\r\nb', 'api-keys': ['k1']}],
        [{'name': 'a', 'api-keys': ['k1'], 'rate-per-s': -1}],
        [{'name': 'a', 'api-keys': ['k1'], 'burst': -1}],
        [{'name': 'a', 'api-keys': ['k1'], 'rate-per-s': 2e12}],
        [{'name': 'a', 'api-keys': ['k1'], 'rate-per-s': 1, 'burst': 2e12}],
        [{'name': 'a', 'api-keys': ['k1'], 'uncached-tokens': -1}],
        [{'name': f'w{number}'} for number in range(4097)],
        [{'name': 'a', 'api-keys': [f'k{one}' for one in range(65_537)]}],
    ],
    ids=lambda tenants: str(tenants)[:60],
)
def test_invalid_workspaces_are_refused_and_the_old_ones_stay(
    tmp_path: Path, tenants: list[dict[str, Any]]
) -> None:
    async def scenario(platform: FakePlatform, worker: FakeWorker) -> None:
        await _put(platform, _make_configuration(3, first=['valid']))
        invalid = _make_configuration(4)
        invalid['tenants'] = tenants
        assert_that(await platform.put_configuration(invalid), Equals(400))
        for key, status in ((b'valid', 200), (b'k1', 401)):
            header = (b'Authorization', b'Bearer %b' % key)
            answered = await _send(platform, '/app/x', header)
            assert_that(answered, Equals(status))

    _run(tmp_path, scenario)
