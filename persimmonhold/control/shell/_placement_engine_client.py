"""The engine client of placement: orders, inventories, load reports.

Invariant: an order is written only while `can_send` returns true. It is
checked after the connection is opened and before the first byte, so a former
leader stops sending before its lease ends. Every connection is closed before
the outcome of an attempt is returned.
"""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold._json import decode_json
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import Inventory, LoadReport, Order, OrderAnswer
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    fetch,
    fetch_on_connection,
)

_MAX_BODY_BYTES: Final = 4_194_304  # the largest reply of an engine
ENGINE_TIMEOUT_S: Final = 2.0
_OK: Final = 200
_CONFLICT: Final = 409
_DocumentT = TypeVar('_DocumentT')


@final
class PlacementEngineClient:
    """Sends orders to engines while this VM leads, and reads their state."""

    __slots__ = ('_can_send',)

    def __init__(self, can_send: Callable[[], bool]) -> None:
        """Create a client; `can_send` returns whether it may write orders."""
        self._can_send = can_send

    async def send_order(
        self,
        peer: Address,
        order: Order,
    ) -> Result[OrderAnswer, Failure]:
        """Send an order to an engine and wait for the answer.

        After a failure of kind `connect_failed` or `not_leader`, no byte of
        the order was written.
        """
        connected = await ClientConnection.connect(peer, ENGINE_TIMEOUT_S)
        if isinstance(connected, Failed):
            return connected
        connection = connected.unwrap()
        try:
            async with asyncio.timeout(ENGINE_TIMEOUT_S):
                return await self._post_order(connection, order)
        except TimeoutError:
            return Failed(_order_failure(FailureKind.timed_out, peer))
        finally:
            connection.close()

    async def read_inventory(
        self,
        peer: Address,
    ) -> Result[Inventory, Failure]:
        """Read the inventory of an engine."""
        return await _fetch_document(peer, '/inventory', Inventory)

    async def read_load(self, peer: Address) -> Result[LoadReport, Failure]:
        """Read the load report of an engine."""
        return await _fetch_document(peer, '/load', LoadReport)

    async def _post_order(
        self,
        connection: ClientConnection,
        order: Order,
    ) -> Result[OrderAnswer, Failure]:
        peer = connection.peer
        if not self._can_send():
            return Failed(_order_failure(FailureKind.not_leader, peer))
        request = ClientRequest(
            method='POST',
            target='/orders',
            body=msgspec.json.encode(order),
        )
        answered = await fetch_on_connection(
            connection, request, _MAX_BODY_BYTES
        )
        if isinstance(answered, Failed):
            return answered
        response = answered.unwrap()
        if response.head.status not in {_OK, _CONFLICT}:
            return Failed(_order_failure(FailureKind.protocol_violation, peer))
        return _decode_document(response.body, peer, '/orders', OrderAnswer)


async def _fetch_document(
    peer: Address,
    target: str,
    document_type: type[_DocumentT],
) -> Result[_DocumentT, Failure]:
    request = ClientRequest(method='GET', target=target)
    fetched = await fetch(peer, request, ENGINE_TIMEOUT_S, _MAX_BODY_BYTES)
    if isinstance(fetched, Failed):
        return fetched
    return _decode_document(fetched.unwrap().body, peer, target, document_type)


def _decode_document(
    body: bytes,
    peer: Address,
    step: str,
    document_type: type[_DocumentT],
) -> Result[_DocumentT, Failure]:
    try:
        return Success(decode_json(body, document_type))
    except msgspec.DecodeError as error:
        return Failed(
            Failure(
                kind=FailureKind.protocol_violation,
                step=step,
                peer=str(peer),
                detail=str(error),
            ),
        )


def _order_failure(kind: FailureKind, peer: Address) -> Failure:
    return Failure(kind=kind, step='POST /orders', peer=str(peer))
