"""Single requests for control traffic and tools."""

import asyncio
from typing import final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._address import Address
from persimmonhold.web._client_connection import (
    MAX_BODY_BYTES,
    ClientConnection,
)
from persimmonhold.web._client_request import ClientRequest
from persimmonhold.web._response_head import ResponseHead


@final
class FetchedResponse(msgspec.Struct, frozen=True):
    """A completely received response."""

    head: ResponseHead
    body: bytes


async def fetch(
    peer: Address,
    request: ClientRequest,
    timeout_s: float,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Result[FetchedResponse, Failure]:
    """Send a request on a new connection and wait for the whole response.

    `timeout_s` limits connecting and then, anew, the request. A larger body
    than `max_body_bytes` fails. The connection is closed in every case.
    """
    connected = await ClientConnection.connect(peer, timeout_s)
    if isinstance(connected, Failed):
        return connected
    connection = connected.unwrap()
    try:
        async with asyncio.timeout(timeout_s):
            return await fetch_on_connection(
                connection, request, max_body_bytes
            )
    except TimeoutError:
        return Failed(
            Failure(
                kind=FailureKind.timed_out,
                step=f'{request.method} {request.target}',
                peer=str(peer),
            ),
        )
    finally:
        connection.close()


async def fetch_on_connection(
    connection: ClientConnection,
    request: ClientRequest,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> Result[FetchedResponse, Failure]:
    """Send a request on an open connection and wait for the whole response.

    There is no time-out, and the connection stays open. After a larger body
    than `max_body_bytes` it cannot be used again.
    """
    sent = await connection.send_request(request)
    if isinstance(sent, Failed):
        return sent
    head = await connection.receive_head()
    if isinstance(head, Failed):
        return head
    body = await connection.receive_body(max_body_bytes)
    if isinstance(body, Failed):
        return body
    return Success(FetchedResponse(head.unwrap(), body.unwrap()))
