"""Skips late responses to earlier requests on a connection."""

from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.web._body_end import BodyEnd
from persimmonhold.web._client_connection import ClientConnection
from persimmonhold.web._response_head import ResponseHead

_HEAD_METHOD: Final = 'HEAD'
# Late responses that are skipped before one response, and the size of their
# bodies together. Bounds what a faulty peer can have this process read.
_MAX_LATE_RESPONSES: Final = 4
_MAX_LATE_BYTES: Final = 1_048_576


@final
class LateResponseSkipper:
    """Skips late responses before that to the last request of a connection.

    `count` is how many there were, also of those that could not be skipped.
    """

    __slots__ = ('connection', 'count', 'size_bytes')

    def __init__(self, connection: ClientConnection) -> None:
        """Create a skipper for a connection on which a request was sent."""
        self.connection = connection
        self.count = 0
        self.size_bytes = 0

    async def skip(
        self, head: ResponseHead, request_id: str
    ) -> Result[None, Failure]:
        """Read past the response to `request_id`, whose head was received.

        What follows is received as the response to the last request, and the
        connection carries no further one. Fails if it is not certain where the
        late response ends, or if there is too much of them.
        """
        connection = self.connection
        connection.is_kept_open = False
        self.count += 1
        if self.count > _MAX_LATE_RESPONSES:
            return _fail(connection, 'is one too many')
        if not _has_certain_end(connection, head, request_id):
            return _fail(connection, 'has no certain end')
        while not connection.codec.is_response_complete:
            chunk = await connection.receive_chunk()
            if isinstance(chunk, Failed):
                return chunk
            self.size_bytes += len(chunk.unwrap())
            if self.size_bytes > _MAX_LATE_BYTES:
                return _fail(connection, 'is too long')
        if not connection.codec.expect_another_response():
            return _fail(connection, 'ends the connection')
        return Success(None)


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
