"""Receives the response to a request, past late ones to earlier requests."""

from typing import final

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
    LateResponseSkipper,
    ResponseHead,
)


@final
class ReceivedHead(msgspec.Struct, frozen=True):
    """The head of a response, what it states, and whose response it is."""

    head: ResponseHead
    decoded: DecodedResponseHead
    verdict: ResponseVerdict


@final
class ResponseReceiver:
    """Receives the head of the response to one request."""

    __slots__ = ('connection', 'late_responses', 'services')

    def __init__(
        self, services: ForwardServices, connection: ClientConnection
    ) -> None:
        """Create a receiver for the last request on a connection."""
        self.services = services
        self.connection = connection
        self.late_responses = LateResponseSkipper(connection)

    async def receive_head(
        self, upstream: UpstreamFacts, request_id: str, sent_at: float
    ) -> Result[ReceivedHead, Failure]:
        """Return the first head that is not of a late response."""
        recorder = StatementRecorder(self.services, upstream)
        while True:
            head = await self.connection.receive_head()
            if isinstance(head, Failed):
                return head
            received = self._judge(recorder, head.unwrap(), request_id, sent_at)
            if received.verdict is not ResponseVerdict.earlier_request:
                return Success(received)
            skipped = await self.late_responses.skip(
                received.head, received.decoded.request_id
            )
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
