"""Options of the kernel on the connections of the process.

A `TCP_USER_TIMEOUT` or keep-alive probes could end a connection whose peer is
sound and silent for a second. Libraries may set either by themselves.
"""

import asyncio
import os
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Final, NamedTuple

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.platform._upstream_client import PlatformUpstreamClient
from persimmonhold.routes import RouteKind
from persimmonhold.settings import PeerSettings, TlsSettings
from persimmonhold.transport import Channel, NngTransport
from persimmonhold.web import parse_address
from tests.forwarding_harness import ForwardingHarness, run_with_harness
from tests.raw_upstream import (
    EVENT_STREAM,
    PLAIN,
    RawConnection,
    RawUpstream,
)
from tests.test_transport import Authority

_FD_DIRECTORY: Final = Path('/proc/self/fd')
_WAIT_S: Final = 5
_SILENCE_S: Final = 1.2
_EVENTS: Final = (b'id: 1\ndata: x\n\n', b'id: 2\ndata: y\n\n')


class Connection(NamedTuple):
    """The ports of an open connection, and its options."""

    local_port: int
    peer_port: int
    user_timeout_ms: int
    is_kept_alive: bool


def _list_connections() -> Iterator[Connection]:
    """Yield the open TCP connections of this process, either end."""
    for name in os.listdir(_FD_DIRECTORY):
        try:
            target = os.readlink(_FD_DIRECTORY / name)
            descriptor = os.dup(int(name)) if 'socket:' in target else -1
        except OSError:  # the descriptor of the directory itself
            continue
        if descriptor < 0:
            continue
        with socket.socket(fileno=descriptor) as opened:
            connection = _read_options(opened)
        if connection is not None:
            yield connection


def _read_options(opened: socket.socket) -> Connection | None:
    if opened.family is not socket.AF_INET:
        return None
    try:
        peer_port = opened.getpeername()[1]
    except OSError:
        return None  # it listens
    return Connection(
        opened.getsockname()[1],
        peer_port,
        opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        bool(opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
    )


def _check_options(address: str) -> int:
    """Check both ends of the connections to an address; return their number."""
    port = parse_address(address).unwrap().port
    found = [
        connection
        for connection in _list_connections()
        if port in connection[:2]
    ]
    for connection in found:
        assert_that(connection.user_timeout_ms, Equals(0), f'{connection}')
        assert_that(connection.is_kept_alive, Is(False), f'{connection}')
    return len(found)


def test_connections_of_callers_and_to_upstreams_have_no_kernel_time_limit() -> (
    None
):
    """An idle one is kept while another one is under way."""
    arrived = asyncio.Event()
    checked = asyncio.Event()

    async def serve(connection: RawConnection) -> None:
        if connection.number == 2:
            arrived.set()
            await checked.wait()
        await connection.respond(PLAIN, 'length', b'{}')

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.non_idempotent)
        upstream = await harness.start_raw_upstream(
            serve, keeps_connections=True
        )
        await harness.send_request()
        pool = harness.services.pool
        address = parse_address(upstream.address).unwrap()
        kept = pool.acquire(address, asyncio.get_running_loop().time())
        assert kept is not None
        under_way = asyncio.create_task(harness.send_request())
        await arrived.wait()
        pool.release(kept, asyncio.get_running_loop().time())
        # Both ends of the idle connection and of the one under way.
        assert_that(_check_options(upstream.address), Equals(4))
        caller_ends = _check_options(str(harness.server.address))
        assert_that(caller_ends, GreaterThan(1))
        checked.set()
        await under_way

    run_with_harness(scenario)


def test_connection_to_the_list_has_no_kernel_time_limit() -> None:
    counts: list[int] = []

    async def serve(connection: RawConnection) -> None:
        counts.append(_check_options(upstream.address))
        body = b'{"instances":[]}'
        await connection.respond(PLAIN, 'length', body)

    upstream = RawUpstream('list', serve)

    async def scenario() -> None:
        async with await upstream.start():
            address = parse_address(upstream.address).unwrap()
            client = PlatformUpstreamClient(address, 'vm1')
            await client.read_list()
            client.close()

    asyncio.run(scenario())
    assert_that(counts[:1], Equals([2]))


@pytest.mark.parametrize('has_tls', [False, True], ids=['plain', 'tls'])
def test_connections_between_vms_have_no_kernel_time_limit(
    has_tls: bool, tmp_path: Path
) -> None:
    """The library sets no option by itself; probes find a silent connection."""
    authority = Authority()
    peers = PeerSettings(address='127.0.0.1:0')
    tls = [TlsSettings(), TlsSettings()]
    if has_tls:
        trusted = authority.certificate
        tls = [authority.write(tmp_path, vm, trusted) for vm in ('vm1', 'vm2')]

    async def scenario() -> None:
        async with (
            NngTransport('vm1', peers, tls[0]) as first,
            NngTransport('vm2', peers, tls[1]) as second,
        ):
            arrived = asyncio.Event()
            second.set_receiver(Channel.control, lambda *_: arrived.set())
            first.set_peers({'vm2': second.address})
            async with asyncio.timeout(_WAIT_S):
                while not arrived.is_set():
                    first.send('vm2', Channel.control, b'x')
                    await asyncio.sleep(0.02)
            assert_that(_check_options(second.address), Equals(2))

    asyncio.run(scenario())


async def _pause(connection: RawConnection) -> None:
    """Fall silent before the head of a response and within its body."""
    if 'x-warm-up' in connection.headers:
        await connection.respond(EVENT_STREAM, 'chunks', _EVENTS[0])
        return
    await asyncio.sleep(_SILENCE_S)
    await connection.write_head(EVENT_STREAM, 'chunks')
    await connection.write_body(_EVENTS[0], 'chunks')
    await asyncio.sleep(_SILENCE_S)
    await connection.write_body(_EVENTS[1], 'chunks')
    await connection.write(b'0\r\n\r\n')


async def _send_to_pausing(
    kind: RouteKind, is_resumable: bool, is_kept: bool
) -> None:
    async with ForwardingHarness() as harness:
        harness.set_route(kind, attempts=2, resumable=is_resumable)
        upstream = await harness.start_raw_upstream(
            _pause, keeps_connections=True
        )
        if is_kept:
            await harness.send_request(headers={'x-warm-up': '1'})
        answer = (await harness.send_request()).unwrap()
        assert_that(answer.head.status, Equals(200))
        assert_that(answer.body, Equals(b''.join(_EVENTS)))
        sent = [head.get(REQUEST_ID) for head in upstream.requests]
        assert_that(sent, Equals(['r1', 'r2'] if is_kept else ['r1']))


def test_upstream_that_is_silent_for_a_second_keeps_its_connection() -> None:
    """A guard: no other upstream could run the request."""

    async def scenario() -> None:
        await asyncio.gather(
            *(
                _send_to_pausing(kind, is_resumable, is_kept)
                for kind, is_resumable in (
                    (RouteKind.stream, False),
                    (RouteKind.stream, True),
                    (RouteKind.non_idempotent, False),
                    (RouteKind.idempotent, False),
                )
                for is_kept in (False, True)
            )
        )

    asyncio.run(scenario())
