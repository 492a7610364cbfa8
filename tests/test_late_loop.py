"""Tests of a late loop: an upstream is not blamed for what was not read.

The clock jumps while bytes that have arrived wait in a socket.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    IsInstance,
    LessThan,
)

from bench.virtual_loop import VirtualTimeLoop, run_in_virtual_time
from persimmonhold.routes import RouteKind
from persimmonhold.web import Address, ClientConnection, StallDetector
from tests.forwarding_harness import ForwardingHarness
from tests.raw_upstream import EVENT_STREAM, PLAIN, RawConnection, RawScript

_LATE_S = 1.0
_CONNECT_TIMEOUT_S = 0.4
_STALL_TIMEOUT_S = 0.4
# Less than the resolution of the loop's clock: due in the same iteration.
_JUST_BEFORE_S = 1e-10
# The time-out for a response head in the routes of these tests.
_HEAD_TIMEOUT_S = 0.8


def _be_late(seconds: float = _LATE_S) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.now += seconds


def _now() -> float:
    return asyncio.get_running_loop().time()


def _call_upstream(script: RawScript) -> tuple[int, float]:
    """Return the status that a caller gets, and after how many seconds."""

    async def scenario() -> tuple[int, float]:
        async with ForwardingHarness(_now) as harness:
            harness.set_route(RouteKind.idempotent)
            await harness.start_raw_upstream(script)
            begun_at = _now()
            fetched = (await harness.send_request()).unwrap()
            return fetched.head.status, _now() - begun_at

    return run_in_virtual_time(scenario())


@pytest.mark.parametrize('content_type', [PLAIN, EVENT_STREAM])
@pytest.mark.parametrize(
    ('wait_s', 'late_s'),
    [(0.0, _LATE_S), (0.1, _LATE_S), (0.5, _LATE_S), (0.79, _LATE_S)]
    # The time-out has just been over.
    + [(0.5, 0.3005), (0.5, 0.302), (0.5, 0.31), (0.5, 0.35)],
)
def test_response_that_has_arrived_is_read_by_a_late_loop(
    wait_s: float, late_s: float, content_type: str
) -> None:
    async def script(connection: RawConnection) -> None:
        await asyncio.sleep(wait_s)
        body = b'id: 1\ndata: x\n\n'
        await connection.respond(content_type, 'length', body)
        _be_late(late_s)

    status, _ = _call_upstream(script)
    assert_that(status, Equals(200))


def test_body_that_has_arrived_is_read_by_a_late_loop() -> None:
    async def script(connection: RawConnection) -> None:
        await connection.write_head(PLAIN, 'length', 2)
        for _ in range(2):
            await asyncio.sleep(0.3)
            await connection.write_body(b'x', 'length')
            _be_late()

    status, _ = _call_upstream(script)
    assert_that(status, Equals(200))


@pytest.mark.parametrize('late_s', [0.0, 0.3, _LATE_S])
def test_silent_upstream_is_given_up_by_a_loop_that_is_always_late(
    late_s: float,
) -> None:
    async def script(connection: RawConnection) -> None:
        while True:
            await asyncio.sleep(0.05)
            _be_late(late_s)

    status, taken_s = _call_upstream(script)
    assert_that(status, Equals(502))
    assert_that(taken_s, GreaterThan(_HEAD_TIMEOUT_S - 0.01))
    # Three timers, each of which may be late.
    longest_s = 1.5 * _HEAD_TIMEOUT_S + 3 * (late_s + 0.05)
    assert_that(taken_s, LessThan(longest_s))


class _Peer(asyncio.Protocol):
    """Accepts connections; `send` writes to the last one."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send(self, data: bytes) -> None:
        """Write bytes to the connection."""
        assert self.transport is not None
        self.transport.write(data)


def _run_with_peer(
    scenario: Callable[[_Peer, Address], Awaitable[None]],
) -> None:
    async def run_scenario() -> None:
        peer = _Peer()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: peer, '127.0.0.1', 0)
        async with server:
            host, port = server.sockets[0].getsockname()
            await scenario(peer, Address(host, port))

    run_in_virtual_time(run_scenario())


@pytest.mark.parametrize('late_s', [0.402, 0.41, 0.45, _LATE_S])
@pytest.mark.parametrize('steps', range(1, 6))
def test_connection_that_was_accepted_is_used_by_a_late_loop(
    steps: int, late_s: float
) -> None:
    async def scenario(peer: _Peer, address: Address) -> None:
        opening = asyncio.create_task(
            ClientConnection.connect(address, _CONNECT_TIMEOUT_S)
        )
        for _ in range(steps):
            await asyncio.sleep(0)
        _be_late(late_s)
        opened = await opening
        assert_that(opened, IsInstance(Success))
        opened.unwrap().close()

    _run_with_peer(scenario)


@pytest.mark.parametrize('before_s', [0.05, _JUST_BEFORE_S])
def test_bytes_that_have_arrived_are_no_stall_in_a_late_loop(
    before_s: float,
) -> None:
    async def scenario(peer: _Peer, address: Address) -> None:
        opened = await ClientConnection.connect(address, _CONNECT_TIMEOUT_S)
        connection = opened.unwrap()
        await asyncio.sleep(0.1)
        stalls: list[float] = []

        def send_late() -> None:
            peer.send(b'more')
            _be_late()

        with StallDetector(
            connection, _STALL_TIMEOUT_S, lambda: stalls.append(_now())
        ):
            asyncio.get_running_loop().call_later(
                _STALL_TIMEOUT_S / 4 - before_s, send_late
            )
            await asyncio.sleep(_STALL_TIMEOUT_S)
        connection.close()
        assert_that(stalls, Equals([]))

    _run_with_peer(scenario)


def test_upstream_that_stopped_sending_stalls_in_time() -> None:
    async def scenario(peer: _Peer, address: Address) -> None:
        opened = await ClientConnection.connect(address, _CONNECT_TIMEOUT_S)
        connection = opened.unwrap()
        begun_at = _now()
        stalls: list[float] = []
        with StallDetector(
            connection, _STALL_TIMEOUT_S, lambda: stalls.append(_now())
        ):
            await asyncio.sleep(2 * _STALL_TIMEOUT_S)
        connection.close()
        assert_that(stalls, HasLength(1))
        assert_that(stalls[0] - begun_at, LessThan(1.3 * _STALL_TIMEOUT_S))

    _run_with_peer(scenario)
