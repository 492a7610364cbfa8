"""A sound worker: runs requests, tells what it holds, and takes orders."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from typing import Any, Final

from bed.http import Message, Server, encode, read_body, respond

_NUMBERS: Final = itertools.count(1)
_ADAPTER_LOAD_S: Final = 0.01
_MODEL_LOAD_S: Final = 1.2


class Worker:
    """One incarnation of a worker; `runs` lists what it ran.

    `models` maps each model that it holds to its adapters; a plain worker has
    none. It runs `slots` requests at once and rejects what comes beyond.
    """

    def __init__(
        self,
        service: str,
        note: Callable[[str], None],
        *,
        slots: int = 6,
        models: dict[str, set[str]] | None = None,
        zone: str = 'nl-west-a',
        work_s: float = 0.06,
    ) -> None:
        self.service = service
        self.note = note
        self.slots = slots
        self.models = models
        self.zone = zone
        self.work_s = work_s
        self.id = f'i-{next(_NUMBERS):08x}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.version = 'v1'
        self.running = 0
        self.seq = 0
        self.is_busy = False
        self.runs: list[tuple[float, str, Message]] = []
        self.refused = 0
        self.server = Server(self.serve)
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> 'Worker':
        await self.server.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.server.stop()

    def entry(self) -> dict[str, Any]:
        """What the platform lists of it."""
        described: dict[str, Any] = {
            'id': self.id,
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold-remaining-ms': 0,
            'born': self.born,
        }
        if self.models is not None:
            described['stage'] = 'colocated'
            described['models'] = self.describe_models()
        return described

    def describe_models(self) -> list[dict[str, Any]]:
        """What it holds."""
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in (self.models or {}).items()
        ]

    async def serve(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request of a connection."""
        await read_body(reader, message)
        if not message.is_complete:
            return False
        path = message.target.partition('?')[0]
        if path == '/healthz':
            respond(writer, 200, {'Instance-Id': self.id})
        elif path == '/report' and self.models is not None:
            self.respond_json(writer, 200, self.report())
        elif path == '/order' and self.models is not None:
            self.respond_json(writer, self.take_order(message), {})
        elif message.headers.get('expect-instance', self.id) != self.id:
            self.refuse(writer, message, 421)
        elif 'attempt-id' not in message.headers:
            self.refuse(writer, message, 400)
        elif not self.holds(message.headers.get('model', '')):
            self.refuse(writer, message, 421)
        elif self.running >= self.slots:
            self.refuse(writer, message, 503)
        else:
            return await self.run(message, reader, writer)
        return True

    def holds(self, name: str) -> bool:
        """Whether it holds a model or an adapter, as a request names it."""
        if self.models is None:
            return True
        model, _, adapter = name.partition('/')
        return model in self.models and adapter in {'', *self.models[model]}

    def refuse(
        self, writer: asyncio.StreamWriter, message: Message, status: int
    ) -> None:
        """Answer that a request was not run."""
        self.refused += 1
        respond(
            writer,
            status,
            {
                'Not-Executed': '1',
                'Attempt-Id': message.headers.get('attempt-id', ''),
                'Instance-Id': self.id,
            },
        )

    async def run(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it."""
        attempt = message.headers['attempt-id']
        self.runs.append((time.monotonic(), attempt, message))
        self.note(f'{self.id} runs {attempt} {message.first_line[:60]}')
        self.running += 1
        try:
            return await self.work(message, writer)
        finally:
            self.running -= 1

    async def work(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Work on a request; return whether the connection is kept."""
        await asyncio.sleep(self.work_s)
        attempt = message.headers['attempt-id']
        if message.headers.get('events'):
            await self.stream(message, writer)
            return True
        body = f'{attempt} of {self.id}'.encode()
        respond(writer, 200, self.own_headers(attempt), body)
        return True

    async def stream(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Send events as chunks; `Events` and `Gap-Ms` say how many."""
        attempt = message.headers['attempt-id']
        headers = {
            **self.own_headers(attempt),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(encode('HTTP/1.1 200 X', headers, None))
        first = int(message.headers.get('last-event-id') or 0) + 1
        gap_s = int(message.headers.get('gap-ms') or 50) / 1000
        for number in range(first, int(message.headers['events']) + 1):
            event = f'id: {number}\ndata: {attempt}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b'0\r\n\r\n')

    def own_headers(self, attempt: str) -> dict[str, str]:
        """The headers of an answer."""
        return {
            'Attempt-Id': attempt,
            'Server-Signature': f'{self.id}.{attempt}',
        }

    def respond_json(
        self, writer: asyncio.StreamWriter, status: int, document: Any
    ) -> None:
        """Answer with a document."""
        headers = {'Content-Type': 'application/json'}
        respond(writer, status, headers, json.dumps(document).encode())

    def report(self) -> dict[str, Any]:
        """What it says of itself."""
        return {
            'born': self.born,
            'stage': 'colocated',
            'models': self.describe_models(),
            'busy': self.is_busy,
            'seq': self.seq,
            'waiting': 0,
            'running': self.running,
            'kv-used': 0,
            'kv-total': 90_000,
            'handles': 0,
            'pending': [],
        }

    def take_order(self, message: Message) -> int:
        """Take an order as the pages say; return the status."""
        order = message.json()
        if message.headers.get('expect-instance', self.id) != self.id:
            return 421
        if 'holder' not in order or 'fencing-token' not in order:
            return 400
        adapter = order.get('adapter', '')
        model = order['model']
        if adapter and not adapter[1:].isdigit():
            return 400
        if self.is_busy or order.get('expect', self.seq) != self.seq:
            return 409
        is_load = order['op'] == 'load'
        name = f'{model}/{adapter}' if adapter else model
        if is_load == self.holds(name):
            return 200
        self.seq += 1
        self.is_busy = not adapter
        self.note(f'{self.id} is ordered to {order["op"]} {name}')
        task = asyncio.get_running_loop().create_task(
            self.carry_out(model, adapter, is_load=is_load)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return 202

    async def carry_out(
        self, model: str, adapter: str, *, is_load: bool
    ) -> None:
        """Load or unload."""
        if adapter:
            await asyncio.sleep(_ADAPTER_LOAD_S)
            held = self.models.get(model, set())
            (held.add if is_load else held.discard)(adapter)
            return
        if is_load:
            await asyncio.sleep(_MODEL_LOAD_S)
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.is_busy = False
