"""Crowds of untrusted clients at the sockets of real processes.

Each test checks that the process lives, that its resident memory and its open
descriptors stayed under a bound, and that one ordinary request is answered
afterwards, while the clients are still connected. The number of clients and
the bounds were fixed on b355840; `guard` marks what passed there, too.
"""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import MappingProxyType
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from persimmonhold.platform import _names as names
from tests.untrusted_system import HOST, MAX_FDS, MEMORY_MB, UntrustedSystem

_Crowd = Callable[[UntrustedSystem], Coroutine[None, None, None]]
_TEST_TIMEOUT_S: Final = 150.0
_BODY_BYTES: Final = 4_194_304  # the documented limit
_HEAD_BYTES: Final = 16_384  # the documented limit
_SENDING_S: Final = 6.0
# An ordinary request at each socket.
_TARGETS: Final = MappingProxyType({
    'callers': '/app/echo',
    'readiness': names.READY_PATH,
    'directory': names.DIRECTORY_PATH,
    'metrics': '/metrics',
    'operators': names.CONFIGURATION_PATH,
    'control metrics': '/metrics',
})
_SOCKETS: Final = tuple(_TARGETS)


def _format_head(target: str, *fields: str, method: str = 'POST') -> bytes:
    lines = (
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'{names.REQUEST_ID}: r1',
        f'{names.DEADLINE_MS}: 60000',
        *fields,
        '\r\n',
    )
    return '\r\n'.join(lines).encode('ascii')


def _format_short_body(target: str, method: str = 'POST') -> bytes:
    """Return a request whose body stops one byte short of its end."""
    head = _format_head(target, f'Content-Length: {_BODY_BYTES}', method=method)
    return head + bytes(_BODY_BYTES - 1)


def _format_many_fields(target: str, method: str = 'POST') -> bytes:
    """Return a request of legal size with short fields, without its body."""
    head = _format_head(target, 'Content-Length: 1', method=method)
    room = _HEAD_BYTES - len(head)
    return head.removesuffix(b'\r\n') + b'a:\r\n' * (room // 4) + b'\r\n'


def _check(directory: Path, socket_name: str, crowd: _Crowd) -> None:
    """Start the system, run a crowd, and check the process of a socket."""

    async def scenario() -> None:
        async with UntrustedSystem(directory) as system:
            await crowd(system)
            is_answered = await system.is_answered(
                socket_name, _TARGETS[socket_name]
            )
            vm = system.find_vm(socket_name)
            assert_that(vm.is_alive, Equals(True))
            assert_that(vm.peak_resident_mb, LessThan(MEMORY_MB))
            assert_that(vm.peak_fds, LessThan(MAX_FDS))
            assert_that(is_answered, Equals(True))

    asyncio.run(asyncio.wait_for(scenario(), _TEST_TIMEOUT_S))


@pytest.mark.parametrize('target', ['/app/echo', '/none'])
def test_bodies_that_stop_short_at_callers(tmp_path: Path, target: str) -> None:
    """Guard: incomplete bodies must not fill the memory of an entry."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_short_body(target)
        await system.send_from_many('callers', 40, sent, _SENDING_S)

    _check(tmp_path, 'callers', crowd)


def test_bodies_that_stop_short_at_operators(tmp_path: Path) -> None:
    """Incomplete bodies of operators filled 268 MB of a VM of 296 MB."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_short_body(names.CONFIGURATION_PATH, method='PUT')
        await system.send_from_many('operators', 60, sent, _SENDING_S)

    _check(tmp_path, 'operators', crowd)


@pytest.mark.parametrize('socket_name', ['readiness', 'directory', 'metrics'])
def test_bodies_that_stop_short_at_other_sockets(
    tmp_path: Path, socket_name: str
) -> None:
    """Guard: bodies that no handler reads must not be held."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_short_body(_TARGETS[socket_name])
        await system.send_from_many(socket_name, 40, sent, _SENDING_S)

    _check(tmp_path, socket_name, crowd)


@pytest.mark.parametrize('chunk', [1, 65_536])
def test_endless_bodies_in_chunks(tmp_path: Path, chunk: int) -> None:
    """Guard: a body without a stated size must end at its limit."""

    async def crowd(system: UntrustedSystem) -> None:
        head = _format_head('/app/echo', 'Transfer-Encoding: chunked')
        part = b'%x\r\n%s\r\n' % (chunk, bytes(chunk))
        sent = head + part * (8_000_000 // len(part))
        await system.send_from_many('callers', 30, sent, _SENDING_S)

    _check(tmp_path, 'callers', crowd)


@pytest.mark.parametrize(
    ('socket_name', 'method'), [('callers', 'POST'), ('operators', 'PUT')]
)
def test_many_short_fields(
    tmp_path: Path, socket_name: str, method: str
) -> None:
    """Heads of 16 KB took up to 1 MB each while their bodies were awaited."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_many_fields(_TARGETS[socket_name], method)
        await system.send_from_many(socket_name, 150, sent, _SENDING_S)
        await asyncio.sleep(_SENDING_S)

    _check(tmp_path, socket_name, crowd)


def test_pipelined_requests_for_large_responses(tmp_path: Path) -> None:
    """Responses that were not read filled the memory of an entry."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_head('/app/large', method='GET') * 1000
        await system.send_from_many('callers', 3, sent, _SENDING_S)
        await asyncio.sleep(_SENDING_S)

    _check(tmp_path, 'callers', crowd)


@pytest.mark.parametrize('socket_name', _SOCKETS)
def test_pipelined_requests_at_each_socket(
    tmp_path: Path, socket_name: str
) -> None:
    """Guard: requests without end, of a client that reads no response."""

    async def crowd(system: UntrustedSystem) -> None:
        target = '/none' if socket_name == 'callers' else _TARGETS[socket_name]
        sent = _format_head(target, method='GET') * 50_000
        await system.send_from_many(socket_name, 8, sent, _SENDING_S)

    _check(tmp_path, socket_name, crowd)


def test_bytes_behind_requests_that_run(tmp_path: Path) -> None:
    """Each of many connections held up to 256 KB behind its request."""

    async def crowd(system: UntrustedSystem) -> None:
        body = bytes(300_000)
        head = _format_head('/app/hang', f'Content-Length: {len(body)}')
        behind = _format_head('/app/echo', method='GET') * 20_000
        sent = head + body + behind
        await system.send_from_many('callers', 80, sent, _SENDING_S)

    _check(tmp_path, 'callers', crowd)


@pytest.mark.parametrize(
    'socket_names',
    [
        ('callers',),
        ('readiness', 'directory', 'metrics'),
        ('operators', 'control metrics'),
    ],
    ids=['callers', 'entry', 'control'],
)
@pytest.mark.parametrize(
    'sent', [b'', b'GET / HTTP/1.1\r\nHost: '], ids=['silent', 'half a head']
)
def test_many_connections(
    tmp_path: Path, socket_names: tuple[str, ...], sent: bytes
) -> None:
    """The descriptors of a VM were all taken by clients that send nothing."""

    async def crowd(system: UntrustedSystem) -> None:
        for name in socket_names:
            count = 360 // len(socket_names)
            await system.send_from_many(name, count, sent, _SENDING_S)
        await asyncio.sleep(1)

    _check(tmp_path, socket_names[0], crowd)


def test_readers_that_stop(tmp_path: Path) -> None:
    """Guard: endless responses to clients that read nothing."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_head('/app/endless', method='GET')
        await system.send_from_many('callers', 40, sent, _SENDING_S)
        await asyncio.sleep(_SENDING_S)

    _check(tmp_path, 'callers', crowd)


def test_upstream_that_does_not_read(tmp_path: Path) -> None:
    """Each body was held three times while its upstream did not read."""

    async def crowd(system: UntrustedSystem) -> None:
        sent = _format_short_body('/deaf/') + b'x'
        await system.send_from_many('callers', 20, sent, _SENDING_S)
        await asyncio.sleep(1)

    _check(tmp_path, 'callers', crowd)


def test_request_at_the_limits_is_served(tmp_path: Path) -> None:
    """Guard: the largest body, and a long head of 400 fields."""

    async def crowd(system: UntrustedSystem) -> None:
        fields = {f'x-{number}': 'y' * 30 for number in range(400)}
        is_answered = await system.is_answered(
            'callers', '/app/echo', bytes(_BODY_BYTES), **fields
        )
        assert_that(is_answered, Equals(True))

    _check(tmp_path, 'callers', crowd)
