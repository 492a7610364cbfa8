"""The HTTP interface of a stand-in engine."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.messages import LoadReport, Order, OrderKind, OrderOutcome
from persimmonhold.settings import StandinSection
from persimmonhold.standin._batch_scheduler import BatchScheduler
from persimmonhold.standin._engine_memory import EngineMemory
from persimmonhold.standin._faults import Faults
from persimmonhold.standin._generation import Generation
from persimmonhold.standin._load_history import LoadHistory
from persimmonhold.standin._prefix_cache import PrefixCache
from persimmonhold.standin._request_name import name_request
from persimmonhold.standin._response_writer import ResponseWriter
from persimmonhold.web import (
    PRIORITY_HEADER,
    RAN_HEADER,
    RESUME_OFFSET_HEADER,
    Exchange,
    ExchangeHandler,
    encode_headers,
)

_MS_PER_S: Final = 1000
_OK: Final = 200
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_LOWEST_PRIORITY: Final = 3
_Route: TypeAlias = Callable[[Exchange], Awaitable[None]]
_NOT_RUN: Final = encode_headers({RAN_HEADER: 'no'})


@final
class EngineHandler(ExchangeHandler):
    """Handles orders, reports, generations and `/_standin` of one engine."""

    def __init__(self, section: StandinSection, boot_id: str) -> None:
        """Create an engine with empty accelerators."""
        capacities = {
            f'a{index}': section.memory_bytes
            for index in range(section.accelerators)
        }
        self.memory = EngineMemory(boot_id, capacities)
        self.faults = Faults()
        self.cache = PrefixCache(seed=0)
        self.scheduler = BatchScheduler(section, self.cache)
        self._section = section
        self._load_history = LoadHistory()
        self._random = random.Random(0)
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._routes: dict[tuple[str, str], _Route] = {
            ('POST', '/orders'): self._receive_order,
            ('GET', '/inventory'): self._send_inventory,
            ('GET', '/load'): self._send_load_report,
            ('GET', '/cache-events'): self._send_cache_events,
            ('POST', '/v1/chat/completions'): self._serve_generation,
            ('POST', '/v1/completions'): self._serve_generation,
            ('GET', '/_standin/state'): self._send_state,
            ('POST', '/_standin/fault'): self._set_faults,
        }

    async def serve(self, exchange: Exchange) -> None:
        """Route the request by method and path.

        Injected delays do not apply to `/_standin` paths.
        """
        route = self._routes.get((exchange.head.method, exchange.head.path))
        if route is None:
            await _refuse(exchange, _NOT_FOUND)
            return
        if not exchange.head.path.startswith('/_standin'):
            await self._delay_response()
        await route(exchange)

    async def _delay_response(self) -> None:
        """Wait for the injected answer delay and the end of a freeze."""
        loop = asyncio.get_running_loop()
        delay_s = self.faults.answer_delay_ms / _MS_PER_S
        frozen_s = self.scheduler.frozen_until - loop.time()
        if max(delay_s, frozen_s) > 0:
            await asyncio.sleep(max(delay_s, frozen_s))

    async def _receive_order(self, exchange: Exchange) -> None:
        """Answer an order and start it if accepted, unless it gets lost."""
        body = await exchange.read_body()
        if isinstance(body, Failed):
            exchange.abort_connection()
            return
        try:
            order = msgspec.json.decode(body.unwrap(), type=Order)
        except msgspec.DecodeError as error:
            await exchange.respond_json(_BAD_REQUEST, {'error': str(error)})
            return
        if self._random.random() < self.faults.order_loss:
            exchange.abort_connection()
            return
        answer = self.memory.answer_order(order)
        if answer.outcome is OrderOutcome.accepted:
            self._start_order(order)
        is_accepted = answer.outcome is OrderOutcome.accepted
        await exchange.respond_json(_OK if is_accepted else _CONFLICT, answer)

    def _start_order(self, order: Order) -> None:
        task = asyncio.get_running_loop().create_task(
            self._execute_order(order)
        )
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _execute_order(self, order: Order) -> None:
        await asyncio.sleep(self.faults.order_delay_ms / _MS_PER_S)
        if not self.memory.begin_order(order):
            return
        if order.kind is not OrderKind.unload:
            load_ms = self._section.load_ms
            if order.base:
                load_ms = self._section.adapter_load_ms
            await asyncio.sleep(load_ms / _MS_PER_S)
        self.memory.complete_order(order)

    async def _send_inventory(self, exchange: Exchange) -> None:
        await exchange.respond_json(_OK, self.memory.build_inventory())

    async def _send_load_report(self, exchange: Exchange) -> None:
        report = LoadReport(
            boot_id=self.memory.boot_id,
            age_ms=0,
            running=len(self.scheduler.batch),
            waiting=self.scheduler.waiting_count,
            slots=self._section.slots,
            kv_used_fraction=len(self.scheduler.batch) / self._section.slots,
            prefill_tokens_per_second=self._section.prefill_tokens_per_second,
            decode_step_ms=self._section.decode_step_ms,
            leaving=self.faults.leaving,
        )
        now = asyncio.get_running_loop().time()
        published = self._load_history.record_report(now, report)
        await exchange.respond_json(_OK, published)

    async def _send_cache_events(self, exchange: Exchange) -> None:
        after = exchange.head.query.get('after', '0')
        page = self.cache.read_events(
            self.memory.boot_id,
            int(after) if after.isdecimal() else 0,
        )
        await exchange.respond_json(_OK, page)

    async def _serve_generation(self, exchange: Exchange) -> None:
        generation = await self._read_generation(exchange)
        if generation is None:
            await _refuse(exchange, _BAD_REQUEST)
            return
        if not self.memory.is_serving(generation.target):
            await _refuse(exchange, _NOT_FOUND)
            return
        self.scheduler.submit(generation)
        try:
            writer = ResponseWriter(exchange, generation, self.faults)
            await writer.write_response()
        finally:
            self.scheduler.cancel(generation)

    async def _read_generation(self, exchange: Exchange) -> Generation | None:
        """Return the requested generation, or None if the body is invalid."""
        body = await exchange.read_body()
        if isinstance(body, Failed):
            return None
        try:
            document = msgspec.json.decode(body.unwrap(), type=dict[str, Any])
        except msgspec.DecodeError:
            return None
        priority = exchange.head.header(PRIORITY_HEADER)
        offset = exchange.head.header(RESUME_OFFSET_HEADER)
        return Generation(
            document,
            int(priority) if priority.isdecimal() else _LOWEST_PRIORITY,
            int(offset) if offset.isdecimal() else 0,
        )

    async def _send_state(self, exchange: Exchange) -> None:
        memory = self.memory
        state = {
            'capacity_bytes': memory.capacity_bytes,
            'held_bytes': {
                name: memory.held_bytes(name) for name in memory.capacity_bytes
            },
            'peak_bytes': memory.peak_bytes,
            'overcommitted': memory.overcommitted,
            'loads': memory.loads,
            'unloads': memory.unloads,
            'adapter_loads': memory.adapter_loads,
            'adapter_unloads': memory.adapter_unloads,
            'orders_refused': memory.orders_refused,
            'requests_run': self.scheduler.requests_run,
        }
        await exchange.respond_json(_OK, state)

    async def _set_faults(self, exchange: Exchange) -> None:
        """Replace all faults by those in the body; a freeze starts now."""
        body = await exchange.read_body()
        try:
            faults = msgspec.json.decode(body.value_or(b''), type=Faults)
        except msgspec.DecodeError as error:
            await exchange.respond_json(_BAD_REQUEST, {'error': str(error)})
            return
        self._apply_faults(faults)
        await exchange.respond_json(_OK, faults)

    def _apply_faults(self, faults: Faults) -> None:
        self.faults = faults
        self.memory.checks_fencing = not faults.ignore_fencing
        self.cache.event_loss = faults.cache_event_loss
        self._load_history.lag_ms = faults.load_report_lag_ms
        self._random.seed(faults.seed)
        now = asyncio.get_running_loop().time()
        self.scheduler.frozen_until = now + faults.freeze_ms / _MS_PER_S


async def _refuse(exchange: Exchange, status: int) -> None:
    """Respond that the request was not run."""
    headers = (*_NOT_RUN, *name_request(exchange))
    await exchange.respond_json(status, {}, headers)
