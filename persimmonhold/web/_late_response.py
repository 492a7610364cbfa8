"""Skips a late response to an earlier request on a connection."""

from typing import Final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._body_end import BodyEnd
from persimmonhold.web._client_connection import ClientConnection
from persimmonhold.web._response_head import ResponseHead

_HEAD_METHOD: Final = 'HEAD'


async def skip_late_response(
    connection: ClientConnection,
    head: ResponseHead,
    request_id: str,
    max_body_bytes: int,
) -> Result[int, Failure]:
    """Read past the response to an earlier request, whose head was received.

    Returns the size of its body. What follows is received as the response to
    the last request, and the connection carries no further one. Fails if it is
    not certain where the late response ends, or if it is too long.
    """
    connection.is_kept_open = False
    if not _has_certain_end(connection, head, request_id):
        return _fail(connection, 'has no certain end')
    size = 0
    while not connection.codec.is_response_complete:
        chunk = await connection.receive_chunk()
        if isinstance(chunk, Failed):
            return chunk
        size += len(chunk.unwrap())
        if size > max_body_bytes:
            return _fail(connection, 'is too long')
    if not connection.codec.expect_another_response():
        return _fail(connection, 'ends the connection')
    return Success(size)


def _has_certain_end(
    connection: ClientConnection, head: ResponseHead, request_id: str
) -> bool:
    """Tell whether the end is found by the method of the last request.

    A response to HEAD has no body, whatever its head states.
    """
    methods = {connection.carried_ids[request_id], connection.codec.method}
    if len(methods) > 1 and _HEAD_METHOD in methods:
        return False
    return head.body_end is not BodyEnd.connection


def _fail(connection: ClientConnection, reason: str) -> Failed[Failure]:
    detail = f'late response {reason}'
    connection.mark_failed(detail)
    failure = Failure(
        kind=FailureKind.connection_lost,
        step='skip response',
        peer=str(connection.peer),
        detail=detail,
    )
    return Failed(failure)
