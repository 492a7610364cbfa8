"""A running stand-in: a simulated engine, service or VM list."""

import asyncio
import secrets
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self, final

from returns.pipeline import is_successful

from persimmonhold.settings import StandinSection
from persimmonhold.standin._engine_handler import EngineHandler
from persimmonhold.standin._service_handler import ServiceHandler
from persimmonhold.standin._vm_list_handler import VmListHandler
from persimmonhold.web import (
    Address,
    ExchangeHandler,
    HttpBounds,
    HttpServer,
    parse_address,
)

_BOOT_ID_BYTES: Final = 4


@final
class Standin:
    """Runs the HTTP server of one stand-in, and an engine's batch scheduler.

    `address` is the bound address while it runs. Entering the context raises
    `OSError` if the address cannot be bound.
    """

    __slots__ = ('_scheduler_task', '_section', '_stack', 'address', 'handler')

    def __init__(self, section: StandinSection) -> None:
        """Create a stand-in of the kind that the settings specify."""
        self.handler = _create_handler(section)
        self.address = Address('127.0.0.1', 0)
        self._section = section
        self._stack = AsyncExitStack()
        self._scheduler_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start the server, and the batch scheduler of an engine."""
        parsed = parse_address(self._section.address)
        address = parsed.unwrap() if is_successful(parsed) else self.address
        server = HttpServer(address, self.handler, HttpBounds())
        await self._stack.enter_async_context(server)
        self.address = server.address
        if isinstance(self.handler, EngineHandler):
            self._scheduler_task = asyncio.get_running_loop().create_task(
                self.handler.scheduler.run(),
            )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the batch scheduler and close the server."""
        if self._scheduler_task is not None:
            self._scheduler_task.cancel()
        await self._stack.aclose()


def _create_handler(section: StandinSection) -> ExchangeHandler:
    if section.kind == 'engine':
        return EngineHandler(section, secrets.token_hex(_BOOT_ID_BYTES))
    if section.kind == 'service':
        return ServiceHandler(section)
    return VmListHandler()
