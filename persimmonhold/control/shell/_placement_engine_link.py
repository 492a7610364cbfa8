"""The engine interface of placement: orders, inventories, load reports.

Invariant: an order is written only while `may_send` holds; it is asked again
between the opened connection and the first byte, so that a deposed leader
stops sending before its lease ends. Every connection is closed before the
outcome of an attempt is returned.
"""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import Inventory, LoadReport, Order, OrderAnswer
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    fetch,
    fetch_on_connection,
)

TIMEOUT_S: Final = 2.0
_OK: Final = 200
_CONFLICT: Final = 409
_DocumentT = TypeVar('_DocumentT')


@final
class PlacementEngineLink:
    """Talks to engines for as long as the host leads."""

    __slots__ = ('_may_send',)

    def __init__(self, may_send: Callable[[], bool]) -> None:
        """Create a link; `may_send` tells whether orders may be written."""
        self._may_send = may_send

    async def send(
        self,
        peer: Address,
        order: Order,
    ) -> Result[OrderAnswer, Failure]:
        """Send an order and await the answer.

        A failure of the kind `connect_failed` or `not_leader` proves that
        not one byte was written.
        """
        connected = await ClientConnection.connect(peer, TIMEOUT_S)
        if isinstance(connected, Failed):
            return connected
        connection = connected.unwrap()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await self._exchange(connection, order)
        except TimeoutError:
            return Failed(_failure(FailureKind.timed_out, peer))
        finally:
            connection.close()

    async def read_inventory(
        self,
        peer: Address,
    ) -> Result[Inventory, Failure]:
        """Read what an engine holds."""
        return await _read(peer, '/inventory', Inventory)

    async def read_load(self, peer: Address) -> Result[LoadReport, Failure]:
        """Read how busy an engine is."""
        return await _read(peer, '/load', LoadReport)

    async def _exchange(
        self,
        connection: ClientConnection,
        order: Order,
    ) -> Result[OrderAnswer, Failure]:
        peer = connection.peer
        if not self._may_send():
            return Failed(_failure(FailureKind.not_leader, peer))
        request = ClientRequest(
            method='POST',
            target='/orders',
            body=msgspec.json.encode(order),
        )
        answered = await fetch_on_connection(connection, request)
        if isinstance(answered, Failed):
            return answered
        response = answered.unwrap()
        if response.head.status not in {_OK, _CONFLICT}:
            return Failed(_failure(FailureKind.protocol_violation, peer))
        return _decode(response.body, peer, '/orders', OrderAnswer)


async def _read(
    peer: Address,
    target: str,
    document_type: type[_DocumentT],
) -> Result[_DocumentT, Failure]:
    request = ClientRequest(method='GET', target=target)
    fetched = await fetch(peer, request, TIMEOUT_S)
    if isinstance(fetched, Failed):
        return fetched
    return _decode(fetched.unwrap().body, peer, target, document_type)


def _decode(
    body: bytes,
    peer: Address,
    step: str,
    document_type: type[_DocumentT],
) -> Result[_DocumentT, Failure]:
    try:
        return Success(msgspec.json.decode(body, type=document_type))
    except msgspec.DecodeError as error:
        return Failed(
            Failure(
                kind=FailureKind.protocol_violation,
                step=step,
                peer=str(peer),
                detail=str(error),
            ),
        )


def _failure(kind: FailureKind, peer: Address) -> Failure:
    return Failure(kind=kind, step='POST /orders', peer=str(peer))
