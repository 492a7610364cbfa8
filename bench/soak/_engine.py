"""A stand-in engine, which holds models and takes orders."""

import asyncio
import random
from typing import Any, Final, final

import msgspec

from bench.soak._record import Record
from bench.soak._upstream import Upstream, refuse
from persimmonhold.platform import _names as names
from persimmonhold.web import Exchange

PLACES: Final = 3
_LOAD_S: Final = 1.5
_EVICTION_S: Final = 0.05
_ADAPTER_LOAD_S: Final = 0.4


@final
class Engine(Upstream):
    """Runs requests for the models that it holds; serves reports and orders.

    A new process holds the models that it was created with.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        listed: list[dict[str, Any]],
        models: tuple[str, ...],
        version: str = '',
    ) -> None:
        super().__init__(name, service, record, listed, version)
        self.initial_models = models
        self.held: dict[str, set[str]] = {}
        self.order_count = 0
        self.is_busy = False

    def describe(self) -> dict[str, Any]:
        """Return the entry of a process that has just started."""
        self.held = {name: set() for name in self.initial_models}
        self.order_count = 0
        self.is_busy = False
        return {
            **super().describe(),
            'stage': 'colocated',
            'models': self.describe_models(),
        }

    def describe_models(self) -> list[dict[str, Any]]:
        """Return the models that the engine holds."""
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.held.items()
        ]

    async def serve(self, exchange: Exchange) -> None:
        """Serve a report, an order or a request."""
        target = exchange.head.target
        if target == names.REPORT_PATH:
            await exchange.respond_json(200, self._report())
        elif target == names.ORDER_PATH:
            body = (await exchange.read_body()).unwrap()
            status = self._take_order(exchange, msgspec.json.decode(body))
            await exchange.respond_json(status, {})
        elif self._holds(exchange.head.header(names.MODEL)):
            await super().serve(exchange)
        else:
            await exchange.read_body()
            await refuse(exchange, 421)

    def _holds(self, name: str) -> bool:
        model, _, adapter = name.partition('/')
        return adapter in {'', *self.held.get(model, ())} and model in self.held

    def _report(self) -> dict[str, Any]:
        return {
            'born': self.entry['born'],
            'stage': 'colocated',
            'models': self.describe_models(),
            'busy': self.is_busy,
            'seq': self.order_count,
            'waiting': 0,
            'running': self.running,
            'kv-used': 0,
            'kv-total': 60_000,
            'handles': 0,
            'state': self.entry['state'],
            'pending': [],
        }

    def _take_order(self, exchange: Exchange, order: dict[str, Any]) -> int:
        if exchange.head.header(names.EXPECTED_PROCESS) != self.entry['id']:
            return 421
        if self.is_busy or order.get('expect') != self.order_count:
            return 409
        is_load = order['op'] == 'load'
        adapter = order.get('adapter', '')
        name = f'{order["model"]}/{adapter}' if adapter else order['model']
        if is_load == self._holds(name):
            return 200
        self.order_count += 1
        self.is_busy = True
        loop = asyncio.get_running_loop()
        self.work = loop.create_task(
            self._carry_out(name, self.entry, is_load=is_load)
        )
        return 202

    async def _carry_out(
        self, name: str, entry: dict[str, Any], *, is_load: bool
    ) -> None:
        model, _, adapter = name.partition('/')
        if adapter:
            await asyncio.sleep(_ADAPTER_LOAD_S)
            adapters = self.held.get(model, set())
            (adapters.add if is_load else adapters.discard)(adapter)
            self._finish_order(entry)
            return
        if is_load and len(self.held) >= PLACES:
            self.record.failures.append(f'{self.name}: ordered to overcommit')
        if not is_load:
            self.held.pop(model, None)
        await asyncio.sleep(_LOAD_S if is_load else _EVICTION_S)
        if is_load and entry is self.entry:
            self.held[model] = set()
        self._finish_order(entry)

    def _finish_order(self, entry: dict[str, Any]) -> None:
        """List what is held, unless the process has ended meanwhile."""
        if entry is self.entry:
            self.is_busy = False
            entry['models'] = self.describe_models()


def place_models(
    models: tuple[str, ...], engine_count: int, seed: int
) -> list[tuple[str, ...]]:
    """Return the models of each engine at its start; the first are popular."""
    rng = random.Random(seed)
    placed: list[tuple[str, ...]] = []
    for number in range(engine_count):
        own = models[number % len(models)]
        others = [name for name in models[: len(models) // 4] if name != own]
        placed.append((own, *rng.sample(others, PLACES - 1)))
    return placed
