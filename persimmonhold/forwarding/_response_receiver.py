"""Receives the response to a request, past late ones to earlier requests."""

from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.attempts import ResponseVerdict
from persimmonhold.failures import Failure
from persimmonhold.fleet import UpstreamFacts
from persimmonhold.forwarding._decoded_response_head import (
    DecodedResponseHead,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._statement_recorder import StatementRecorder
from persimmonhold.web import (
    ClientConnection,
    ResponseHead,
    skip_late_response,
)

# Late responses that are read past before one response, and the size of their
# bodies together. Bounds what a faulty upstream can have an entry read.
_MAX_LATE_RESPONSES: Final = 4
_MAX_LATE_BYTES: Final = 1_048_576


@final
class ReceivedHead(msgspec.Struct, frozen=True):
    """The head of a response, what it states, and whose response it is."""

    head: ResponseHead
    decoded: DecodedResponseHead
    verdict: ResponseVerdict


@final
class ResponseReceiver:
    """Receives the head of the response to one request.

    `late_count` is how many late responses have begun before it.
    """

    __slots__ = ('connection', 'late_count', 'late_bytes', 'services')

    def __init__(
        self, services: ForwardServices, connection: ClientConnection
    ) -> None:
        """Create a receiver for the last request on a connection."""
        self.services = services
        self.connection = connection
        self.late_count = 0
        self.late_bytes = 0

    async def receive_head(
        self, upstream: UpstreamFacts, request_id: str, sent_at: float
    ) -> Result[ReceivedHead, Failure]:
        """Return the first head that is not of a late response.

        That of one late response too many is returned, too.
        """
        recorder = StatementRecorder(self.services, upstream)
        while True:
            head = await self.connection.receive_head()
            if isinstance(head, Failed):
                return head
            received = self._judge(recorder, head.unwrap(), request_id, sent_at)
            if received.verdict is not ResponseVerdict.earlier_request:
                return Success(received)
            self.late_count += 1
            if self.late_count > _MAX_LATE_RESPONSES:
                return Success(received)
            skipped = await self._skip(received)
            if isinstance(skipped, Failed):
                return skipped

    def _judge(
        self,
        recorder: StatementRecorder,
        head: ResponseHead,
        request_id: str,
        sent_at: float,
    ) -> ReceivedHead:
        decoded = self.services.dialect.decode_response_head(head)
        verdict = recorder.record(
            decoded, request_id, sent_at, self.connection.carried_ids
        )
        return ReceivedHead(head, decoded, verdict)

    async def _skip(self, late: ReceivedHead) -> Result[int, Failure]:
        """Read past the body of a late response."""
        skipped = await skip_late_response(
            self.connection,
            late.head,
            late.decoded.request_id,
            _MAX_LATE_BYTES - self.late_bytes,
        )
        self.late_bytes += skipped.value_or(0)
        return skipped
