"""The HTTP interface of a stand-in service."""

import asyncio
import hashlib
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.settings import StandinSection
from persimmonhold.standin._execution import Execution
from persimmonhold.standin._faults import Faults
from persimmonhold.standin._request_name import name_request
from persimmonhold.web import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    Exchange,
    ExchangeHandler,
)

_MS_PER_S: Final = 1000
_OK: Final = 200
_BAD_REQUEST: Final = 400


@final
class ServiceHandler(ExchangeHandler):
    """Executes each call that it receives and records the execution.

    The response contains the path and the digest of the request body, so that
    a caller can detect a response to another request.
    """

    def __init__(self, section: StandinSection) -> None:
        """Create a service that has executed nothing."""
        self.executions: list[Execution] = []
        self.faults = Faults()
        self._section = section
        self._frozen_until = 0.0

    async def serve(self, exchange: Exchange) -> None:
        """Serve the stand-in's own paths; execute others as calls."""
        if exchange.head.path == '/_standin/executions':
            await exchange.respond_json(_OK, {'executions': self.executions})
        elif exchange.head.path == '/_standin/fault':
            await self._set_faults(exchange)
        elif exchange.head.path == '/load':
            await exchange.respond_json(_OK, {'leaving': self.faults.leaving})
        else:
            await self._execute_call(exchange)

    async def _execute_call(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        if isinstance(body, Failed):
            exchange.abort_connection()
            return
        await self._wait_while_frozen()
        self._record_execution(exchange)
        delay_ms = self._section.call_ms + self.faults.answer_delay_ms
        await asyncio.sleep(delay_ms / _MS_PER_S)
        if self.faults.drop_before_answer:
            exchange.abort_connection()
            return
        await exchange.respond_json(
            _OK,
            {
                'service': self._section.name,
                'path': exchange.head.raw_target,
                'body_digest': hashlib.sha256(body.unwrap()).hexdigest(),
            },
            name_request(exchange),
        )

    def _record_execution(self, exchange: Exchange) -> None:
        execution = Execution(
            request_id=exchange.head.header(REQUEST_ID_HEADER),
            key=exchange.head.header(IDEMPOTENCY_KEY_HEADER),
            path=exchange.head.raw_target,
        )
        self.executions.append(execution)

    async def _wait_while_frozen(self) -> None:
        remaining = self._frozen_until - asyncio.get_running_loop().time()
        if remaining > 0:
            await asyncio.sleep(remaining)

    async def _set_faults(self, exchange: Exchange) -> None:
        """Replace all faults by those in the body; a freeze starts now."""
        body = await exchange.read_body()
        try:
            self.faults = msgspec.json.decode(
                body.value_or(b''),
                type=Faults,
            )
        except msgspec.DecodeError as error:
            await exchange.respond_json(_BAD_REQUEST, {'error': str(error)})
            return
        now = asyncio.get_running_loop().time()
        self._frozen_until = now + self.faults.freeze_ms / _MS_PER_S
        await exchange.respond_json(_OK, self.faults)
