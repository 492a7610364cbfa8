"""An HTTP/1.1 server on asyncio and h11."""

import asyncio
import ssl
from types import TracebackType
from typing import Self, final

from persimmonhold.web._address import Address
from persimmonhold.web._bounds import HttpBounds
from persimmonhold.web._close_cause import CloseCause
from persimmonhold.web._exchange_handler import ExchangeHandler
from persimmonhold.web._memory_budget import MemoryBudget
from persimmonhold.web._server_connection import ServerConnection


@final
class HttpServer:
    """Owns the listening socket and the open connections.

    Entering the context starts to listen and raises `OSError` if the address
    cannot be bound. Leaving it closes every connection at once; call `drain`
    before to let requests in progress finish.
    """

    __slots__ = (
        '_address',
        '_connection_closed',
        '_connections',
        '_handler',
        '_is_closing',
        '_is_draining',
        '_server',
        '_tls',
        'address',
        'bounds',
        'budget',
    )

    def __init__(
        self,
        address: Address,
        handler: ExchangeHandler,
        bounds: HttpBounds,
        tls: ssl.SSLContext | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create a server for `address`; port 0 chooses a free port.

        The servers of a process share a budget; a server without one has its
        own.
        """
        self.address = address
        self.bounds = bounds
        self.budget = budget or MemoryBudget(bounds.max_buffered_bytes)
        self.budget.admit_bodies(bounds.max_body_bytes)
        self._address = address
        self._handler = handler
        self._tls = tls
        self._connections: set[ServerConnection] = set()
        self._connection_closed = asyncio.Event()
        self._is_closing = False
        self._is_draining = False
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection,
            self._address.host,
            self._address.port,
            ssl=self._tls,
            backlog=self.budget.accept_burst,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(self._address.host, port)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the socket and every connection."""
        self._stop_listening()
        for connection in tuple(self._connections):
            connection.abort(CloseCause.process_end)
        await asyncio.sleep(0)

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def announce_close(self) -> None:
        """Send `connection: close` with every response from now on."""
        self._is_closing = True
        for connection in self._connections:
            connection.is_close_announced = True

    def update_bounds(self, bounds: HttpBounds) -> None:
        """Replace the limits of open and later connections."""
        self.bounds = bounds
        self.budget.admit_bodies(bounds.max_body_bytes)
        for connection in self._connections:
            connection.bounds = bounds

    async def drain(self) -> None:
        """Stop listening and wait until every connection has closed.

        Idle ones close after a short time, others after the response in
        progress.
        """
        self._stop_listening()
        # Connections that the socket accepted before may register later.
        self._is_draining = True
        for connection in tuple(self._connections):
            connection.close_when_idle()
        while self._connections:
            self._connection_closed.clear()
            await self._connection_closed.wait()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def _create_connection(self) -> ServerConnection:
        connection = ServerConnection(
            self._handler,
            self.bounds,
            self.budget,
            self._unregister,
        )
        connection.on_open = self._register
        return connection

    def _register(self, connection: ServerConnection) -> None:
        """Add an open connection, and mark it as refused if over the limit."""
        connection.is_close_announced = self._is_closing
        self._connections.add(connection)
        is_full = len(self._connections) > self.bounds.max_connections
        connection.is_refused = is_full or not connection.buffers.open(self)
        if self._is_draining:
            connection.close_when_idle()

    def _unregister(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self._connection_closed.set()
