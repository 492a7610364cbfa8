"""Sends one request to an upstream and relays the answer."""

from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.entry._request_context import RequestContext
from persimmonhold.failures import Failure, Ran, Refusal, RefusalReason
from persimmonhold.routing import Route
from persimmonhold.web import (
    REQUEST_ID,
    ClientConnection,
    ClientRequest,
    Headers,
    ResponseHead,
    encode_headers,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 2.0
_HOP_HEADERS: Final = frozenset((
    b'connection',
    b'content-length',
    b'transfer-encoding',
    b'keep-alive',
    b'upgrade',
    b'host',
))


@final
class Relay:
    """One attempt at one upstream."""

    __slots__ = ('_context', '_route')

    def __init__(self, context: RequestContext, route: Route) -> None:
        """Create the relay of an attempt."""
        self._context = context
        self._route = route

    async def run(self, request: ClientRequest) -> Result[None, Refusal]:
        """Send the request and relay the answer to the caller."""
        address = parse_address(self._route.address).unwrap()
        connected = await ClientConnection.connect(
            address,
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(connected, Failed):
            return Failed(_refusal(connected.failure(), Ran.no))
        connection = connected.unwrap()
        try:
            return await self._exchange(connection, request)
        finally:
            connection.close()

    async def _exchange(
        self,
        connection: ClientConnection,
        request: ClientRequest,
    ) -> Result[None, Refusal]:
        sent = await connection.send(request)
        if isinstance(sent, Failed):
            ran = Ran.unknown if connection.bytes_written else Ran.no
            return Failed(_refusal(sent.failure(), ran))
        head = await connection.receive_head()
        if isinstance(head, Failed):
            return Failed(_refusal(head.failure(), Ran.unknown))
        await self._relay_body(connection, head.unwrap())
        return Success(None)

    async def _relay_body(
        self,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> None:
        exchange = self._context.exchange
        own = {REQUEST_ID: self._context.request_id}
        headers = (*end_to_end_headers(head.headers), *encode_headers(own))
        await exchange.start(head.status, headers)
        while True:
            chunk = await connection.receive_chunk()
            if isinstance(chunk, Failed):
                exchange.abort()
                return
            if not chunk.unwrap():
                break
            await exchange.send(chunk.unwrap())
        await exchange.finish()


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are not of one connection alone."""
    return tuple(pair for pair in headers if pair[0] not in _HOP_HEADERS)


def _refusal(failure: Failure, ran: Ran) -> Refusal:
    return Refusal(
        reason=RefusalReason.upstream_failed,
        ran=ran,
        detail=failure.describe(),
    )
