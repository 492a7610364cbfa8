"""Fake platform on loopback: its list, workers and settings files."""

import asyncio
import itertools
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import msgspec

from bench.platform_list import PlatformList
from bench.platform_settings import PlatformSettings
from persimmonhold.platform import _names as names
from persimmonhold.platform._adapter import HttpPlatformAdapter
from persimmonhold.platform._settings_file import read_settings_file
from persimmonhold.system import ForwardingVm
from persimmonhold.web import (
    Address,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    FetchedResponse,
    HttpBounds,
    HttpServer,
    RequestHead,
    encode_headers,
    fetch,
    parse_address,
)

HOST = 'filings.example'
REQUEST_TIMEOUT_S = 10.0
_TIMEOUT_S = 30.0
_POLL_S = 0.02


class FakeWorker(ExchangeHandler):
    """Answers with events for a model, and with the body otherwise.

    The connection of a request whose path ends with `/cut` is cut.
    """

    def __init__(self, name: str, models: tuple[str, ...]) -> None:
        self.name = name
        self.models: dict[str, set[str]] = {model: set() for model in models}
        self.accepted = 0
        self.orders: list[dict[str, Any]] = []
        self.served: list[str] = []
        self.heads: list[RequestHead] = []  # of the requests in `served`
        self.stated_limit = ''

    async def serve(self, exchange: Exchange) -> None:
        """Serve a report, an order or a request by its path."""
        body = (await exchange.read_body()).unwrap()
        expected = exchange.head.header(names.EXPECTED_PROCESS)
        if exchange.head.path == names.REPORT_PATH:
            await exchange.respond_json(200, self.describe())
        elif exchange.head.path == names.ORDER_PATH:
            await self._order(exchange, msgspec.json.decode(body))
        elif expected == self.name:
            await self._run(exchange, body)
        else:
            await exchange.respond_json(421, {})

    def describe(self) -> dict[str, Any]:
        """Return the report of the worker."""
        return {
            'seq': self.accepted,
            'busy': False,
            'born': 5,
            'state': 'ready',
            'models': [
                {'name': model, 'version': 1, 'adapters': sorted(adapters)}
                for model, adapters in self.models.items()
            ],
            'pending': [],
            'resident': {'in-memory': [], 'on-disk': []},
        }

    async def _order(
        self,
        exchange: Exchange,
        order: dict[str, Any],
    ) -> None:
        if order['expect'] != self.accepted:
            await exchange.respond_json(409, {})
            return
        self.accepted += 1
        self.orders.append(order)
        adapters = self.models.setdefault(order['model'], set())
        adapter = order.get('adapter', '')
        if adapter:
            adapters.add(adapter)
        elif order['op'] == 'evict':
            self.models.pop(order['model'])
        await exchange.respond_json(202, {})

    def _holds(self, model: str, adapter: str) -> bool:
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    async def _run(self, exchange: Exchange, body: bytes) -> None:
        head = exchange.head
        model, _, adapter = head.header(names.MODEL).partition('/')
        if model and not self._holds(model, adapter):
            await exchange.respond_json(421, {})
            return
        self.served.append(head.header(names.REQUEST_ID))
        self.heads.append(head)
        if head.path.endswith('/cut'):
            exchange.abort_connection()
            return
        own = {
            names.REQUEST_ID: head.header(names.REQUEST_ID),
            names.SIGNATURE: 'signed',
        }
        if self.stated_limit:
            own[names.REQUEST_LIMIT] = self.stated_limit
        if not model:
            await exchange.respond(200, body, headers=encode_headers(own))
            return
        own['content-type'] = 'text/event-stream'
        await exchange.start_response(200, encode_headers(own))
        for number in range(1, 4):
            await exchange.send_body_chunk(b'id: %d\ndata: x\n\n' % number)
        await exchange.finish_response()


class FakePlatform:
    """Owns the list server, the workers and the VMs of the system."""

    def __init__(self, directory: Path) -> None:
        self.stack = AsyncExitStack()
        self.list_server = PlatformList()
        self.settings = PlatformSettings(
            directory=directory,
            network='127.77',
            first_port=21_000,
            grace_s=4,
        )
        self.vms: dict[str, ForwardingVm] = {}
        self.worker_numbers = itertools.count(1)
        self.request_numbers = itertools.count(1)

    async def __aenter__(self) -> Self:
        list_address = await self._start_server(self.list_server)
        self.settings.list_address = list_address
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for vm in self.vms.values():
            await vm.__aexit__(None, None, None)
        await self.stack.aclose()

    async def start_worker(self, service: str, *models: str) -> FakeWorker:
        """Start a worker and add it to the list."""
        worker = FakeWorker(f'i-{next(self.worker_numbers)}', models)
        address = await self._start_server(worker)
        entry: dict[str, Any] = {
            'id': worker.name,
            'service': service,
            'address': address,
            'zone': 'a',
            'state': 'ready',
            'slots': 4,
            'born': 5,
        }
        if models:
            entry['models'] = worker.describe()['models']
        self.list_server.entries.append(entry)
        return worker

    async def start_vms(self, *vm_names: str) -> None:
        """Start VMs: `c...` are control VMs and seeds, `e...` are entries."""
        seeds = tuple(name for name in vm_names if name.startswith('c'))
        for name in vm_names:
            path = self.settings.write_file(name, seeds)
            file = read_settings_file(path).unwrap()
            vm = ForwardingVm(file.settings, HttpPlatformAdapter(file))
            await vm.__aenter__()
            self.vms[name] = vm

    async def send_request(
        self,
        peer: str,
        method: str,
        target: str,
        body: bytes = b'',
        **headers: str,
    ) -> FetchedResponse | None:
        """Send one request."""
        own = {
            names.REQUEST_ID: f'r{next(self.request_numbers)}',
            names.DEADLINE_MS: '5000',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        request = ClientRequest(
            method=method,
            target=target,
            headers=encode_headers(own),
            body=body,
            host=HOST,
        )
        address = parse_address(peer).unwrap()
        return (await fetch(address, request, REQUEST_TIMEOUT_S)).value_or(None)

    async def put_configuration(self, document: dict[str, Any]) -> int:
        """Send a configuration as an operator does; return the status."""
        body = msgspec.json.encode(document)
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                for name in self.vms:
                    if not name.startswith('c'):
                        continue
                    status = await self._put_configuration_at(
                        self.address(name, 3), body
                    )
                    if status in {200, 400}:
                        return status
                await asyncio.sleep(_POLL_S)

    def address(self, name: str, port: int) -> str:
        """Return the address of a VM for a port index."""
        return self.settings.address(name, port)

    async def _put_configuration_at(self, peer: str, body: bytes) -> int:
        answer = await self.send_request(
            peer, 'PUT', names.CONFIGURATION_PATH, body
        )
        if answer is not None and answer.head.status == 307:
            location = answer.head.header('location').removeprefix('http://')
            leader = location.partition('/')[0]
            answer = await self.send_request(
                leader,
                'PUT',
                names.CONFIGURATION_PATH,
                body,
            )
        return answer.head.status if answer else 0

    async def _start_server(self, handler: ExchangeHandler) -> str:
        server = HttpServer(Address('127.0.0.1', 0), handler, HttpBounds())
        await self.stack.enter_async_context(server)
        return str(server.address)


def make_configuration(version: int, timeout_ms: int = 4000) -> dict[str, Any]:
    """Return a configuration with an idempotent and a streaming route."""
    engine = {
        'slots': 4,
        'weights-mb': 100.0,
        'adapter-slots': 2,
        'loads-per-s': 3.0,
        'models': [
            {
                'name': name,
                'weights-mb': 40.0,
                'load-s': 0.2,
                'adapters': 3,
                'adapter-mb': 1.0,
            }
            for name in ('m1', 'm2', 'm3')
        ],
    }
    return {
        'version': version,
        'later-field': {'kept': True},
        'routes': [
            _route('plain', '/app/', 'idempotent', 'app', timeout_ms),
            _route('chat', '/chat/', 'streaming', 'models', timeout_ms),
        ],
        'services': [{'name': 'app'}, {'name': 'models', 'engine': engine}],
        'limits': {'idle-timeout-ms': 15_000},
    }


async def until(condition: Any) -> None:
    """Wait until a plain or awaitable condition is true."""
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            met = condition()
            if asyncio.iscoroutine(met):
                met = await met
            if met:
                return
            await asyncio.sleep(_POLL_S)


def _route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    timeout_ms: int,
) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': timeout_ms,
        'service': service,
        'max-attempts': 2,
    }
