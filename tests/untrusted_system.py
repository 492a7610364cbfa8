"""A control VM and an entry as real processes, with upstreams beside them.

The processes have the settings of small VMs. Their largest resident size and
their open descriptors are read from the operating system.
"""

import asyncio
import os
import socket
import sys
from asyncio.subprocess import Process
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Any, Final, Self

import msgspec

from bench.platform_list import PlatformList
from bench.platform_settings import PlatformSettings
from persimmonhold.platform import _names as names
from persimmonhold.web import (
    Address,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    encode_headers,
    fetch,
    parse_address,
)

HOST: Final = 'filings.example'
MEMORY_MB: Final = 100
MAX_FDS: Final = 200
LARGE_RESPONSE_BYTES: Final = 200_000
_LIMITS: Final = f'[limits]\nmemory-mb = {MEMORY_MB}\nmax-fds = {MAX_FDS}\n'
_ROOT: Final = Path(__file__).parent.parent
_CONTROL: Final = 'c1'
_ENTRY: Final = 'e1'
# Indices of the addresses of a VM, see `PlatformSettings`.
_SOCKETS: Final = MappingProxyType({
    'callers': 1,
    'readiness': 2,
    'directory': 4,
})
_METRICS_PORT: Final = 9464
_START_TIMEOUT_S: Final = 40.0
_ANSWER_TIMEOUT_S: Final = 30.0
_REQUEST_TIMEOUT_S: Final = 5.0
_POLL_S: Final = 0.05
_HANG_S: Final = 60.0
_SERVICES: Final = ('app', 'deaf')


class _Worker(ExchangeHandler):
    """Echoes bodies; has paths for a large, an endless and no response."""

    async def serve(self, exchange: Exchange) -> None:
        """Respond by the path of the request."""
        body = (await exchange.read_body()).value_or(b'')
        head = exchange.head
        own = encode_headers({
            names.REQUEST_ID: head.header(names.REQUEST_ID),
            names.SIGNATURE: 'signed',
        })
        if head.path.endswith('/hang'):
            await asyncio.sleep(_HANG_S)
        elif head.path.endswith('/endless'):
            await exchange.start_response(200, own)
            while True:
                await exchange.send_body_chunk(bytes(LARGE_RESPONSE_BYTES))
        elif head.path.endswith('/large'):
            await exchange.respond(
                200, bytes(LARGE_RESPONSE_BYTES), headers=own
            )
        else:
            await exchange.respond(200, body, headers=own)


class _Deaf(asyncio.Protocol):
    """Accepts connections and reads nothing."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stop reading."""
        assert isinstance(transport, asyncio.Transport)
        transport.pause_reading()


class RealVm:
    """The process of one VM, and the most that it used."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.peak_fds = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.process.returncode is None

    @property
    def peak_resident_mb(self) -> float:
        """The largest resident size since the start."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(one for one in status.splitlines() if 'VmHWM' in one)
        return int(line.split()[1]) * 1024 / 1e6

    async def watch_descriptors(self) -> None:
        """Count the open descriptors at intervals."""
        folder = f'/proc/{self.process.pid}/fd'
        while self.is_alive:
            self.peak_fds = max(self.peak_fds, len(os.listdir(folder)))
            await asyncio.sleep(_POLL_S)


class UntrustedSystem:
    """Owns the processes, the list of upstreams and the upstreams."""

    def __init__(self, directory: Path) -> None:
        self.stack = AsyncExitStack()
        self.list_server = PlatformList()
        self.settings = PlatformSettings(
            directory=directory,
            network='127.84',
            first_port=22_000,
            grace_s=2,
        )
        self.vms: dict[str, RealVm] = {}
        self.watches: list[asyncio.Task[None]] = []
        self.sockets: list[socket.socket] = []

    async def __aenter__(self) -> Self:
        """Start everything, and wait until the entry is ready."""
        self.settings.list_address = await self._start_server(self.list_server)
        self._list_upstream('app', await self._start_server(_Worker()))
        loop = asyncio.get_running_loop()
        deaf = await loop.create_server(_Deaf, '127.0.0.1', 0)
        self.stack.callback(deaf.close)
        port = deaf.sockets[0].getsockname()[1]
        self._list_upstream('deaf', f'127.0.0.1:{port}')
        try:
            for name in (_CONTROL, _ENTRY):
                await self._start_vm(name)
            await self._configure()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the clients and end the processes."""
        for one in self.sockets:
            one.close()
        for watch in self.watches:
            watch.cancel()
        for vm in self.vms.values():
            if vm.is_alive:
                vm.process.kill()
                await vm.process.wait()
        await self.stack.aclose()

    def find_vm(self, socket_name: str) -> RealVm:
        """Return the process that listens at a socket."""
        is_control = socket_name.startswith(('operators', 'control'))
        return self.vms[_CONTROL if is_control else _ENTRY]

    def find_address(self, socket_name: str) -> Address:
        """Return the address of a socket."""
        if socket_name == 'operators':
            text = self.settings.address(_CONTROL, 3)
        elif socket_name == 'control metrics':
            text = f'{self.settings.host(_CONTROL)}:{_METRICS_PORT}'
        elif socket_name == 'metrics':
            text = f'{self.settings.host(_ENTRY)}:{_METRICS_PORT}'
        else:
            text = self.settings.address(_ENTRY, _SOCKETS[socket_name])
        return parse_address(text).unwrap()

    async def is_answered(
        self, socket_name: str, target: str, body: bytes = b'', **fields: str
    ) -> bool:
        """Tell whether an ordinary request is answered, tried for a time."""
        request = ClientRequest(
            method='POST' if body else 'GET',
            target=target,
            body=body,
            headers=encode_headers({
                names.REQUEST_ID: 'ordinary',
                names.DEADLINE_MS: '5000',
                **fields,
            }),
            host=HOST,
        )
        address = self.find_address(socket_name)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _ANSWER_TIMEOUT_S
        while loop.time() < ends_at:
            got = await fetch(address, request, _REQUEST_TIMEOUT_S)
            answer = got.value_or(None)
            if answer is not None and answer.head.status == 200:
                return True
            await asyncio.sleep(_POLL_S)
        return False

    async def send_from_many(
        self, socket_name: str, count: int, sent: bytes, limit_s: float
    ) -> None:
        """Connect clients that send and read nothing, and stay open.

        Each sends until all was taken, the time is over or it is closed.
        """
        address = self.find_address(socket_name)
        await asyncio.gather(
            *(self._send(address, sent, limit_s) for _ in range(count))
        )

    async def _send(
        self, address: Address, sent: bytes, limit_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self.sockets.append(client)
        client.setblocking(False)
        # The operating system then keeps little for a client that reads none.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            async with asyncio.timeout(limit_s):
                await loop.sock_connect(client, (address.host, address.port))
                await loop.sock_sendall(client, sent)
        except OSError:
            return  # includes the time limit

    def _list_upstream(self, service: str, address: str) -> None:
        self.list_server.entries.append({
            'id': f'i-{service}',
            'service': service,
            'address': address,
            'zone': 'a',
            'state': 'ready',
            'slots': 256,
            'born': 5,
        })

    async def _start_vm(self, name: str) -> None:
        path = self.settings.write_file(name, (_CONTROL,))
        text = path.read_text(encoding='utf-8')
        path.write_text(text + _LIMITS, encoding='utf-8')
        with path.with_suffix('.log').open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'persimmonhold.platform',
                stdout=output,
                stderr=output,
                cwd=_ROOT,
                env={
                    **os.environ,
                    'PERSIMMONHOLD_CONFIG': str(path),
                    'PYTHONPATH': str(_ROOT),
                },
            )
        vm = RealVm(process)
        self.vms[name] = vm
        loop = asyncio.get_running_loop()
        self.watches.append(loop.create_task(vm.watch_descriptors()))

    async def _configure(self) -> None:
        """Send the configuration until it is accepted and in force."""
        request = ClientRequest(
            method='PUT',
            target=names.CONFIGURATION_PATH,
            body=msgspec.json.encode(_make_configuration()),
            host=HOST,
        )
        address = self.find_address('operators')
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                got = await fetch(address, request, _REQUEST_TIMEOUT_S)
                answer = got.value_or(None)
                if answer is not None and answer.head.status == 200:
                    break
                await asyncio.sleep(_POLL_S)
        assert await self.is_answered('callers', '/app/echo')

    async def _start_server(self, handler: ExchangeHandler) -> str:
        server = HttpServer(Address('127.0.0.1', 0), handler, HttpBounds())
        await self.stack.enter_async_context(server)
        return str(server.address)


def _make_configuration() -> dict[str, Any]:
    return {
        'version': 1,
        'routes': [
            {
                'name': service,
                'host': HOST,
                'path-prefix': f'/{service}/',
                'kind': 'idempotent',
                'timeout-ms': 30_000,
                'service': service,
                'max-attempts': 1,
            }
            for service in _SERVICES
        ],
        'services': [{'name': service} for service in _SERVICES],
        # Long, so that the size of a crowd does not follow from the speed of
        # the machine.
        'limits': {'header-timeout-ms': 60_000, 'idle-timeout-ms': 60_000},
    }
