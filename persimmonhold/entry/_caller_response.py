"""Writes the response on the caller's connection.

Invariant: nothing is written after the response has ended, even if the
request is still being processed.
"""

import asyncio
from typing import Final, final

from persimmonhold.attempts import (
    AbortCallerConnection,
    EndStreamWithError,
    FinishResponse,
    Refuse,
    ReplayOutcome,
    SendBody,
)
from persimmonhold.entry._refusals import (
    build_problem_document,
    count_refusal,
    send_refusal,
)
from persimmonhold.failures import Refusal
from persimmonhold.observability import Metrics
from persimmonhold.web import (
    REQUEST_ID_HEADER,
    Exchange,
    ResponseHead,
    encode_headers,
    select_end_to_end_headers,
)

_ABANDONED: Final = 'abandoned'  # until a response is sent
_REPLAYED_HEADER: Final = 'persimmonhold-replayed'
_BODILESS_STATUSES: Final = frozenset((204, 304))


@final
class CallerResponse:
    """Performs the actions that write to one caller.

    `ended` is set when the response is over or the caller has disconnected;
    `outcome` is what the log and the metrics report.
    """

    __slots__ = (
        '_metrics',
        '_request_id',
        '_service_class',
        'ended',
        'exchange',
        'outcome',
    )

    def __init__(
        self,
        exchange: Exchange,
        request_id: str,
        service_class: str,
        metrics: Metrics,
    ) -> None:
        """Create a response that has not started."""
        self.exchange = exchange
        self.ended = asyncio.Event()
        self.outcome = _ABANDONED
        self._request_id = request_id
        self._service_class = service_class
        self._metrics = metrics

    def settle_outcome(self) -> str:
        """Return the outcome; `cut` if the caller still waits for an answer."""
        if self.outcome == _ABANDONED and self.exchange.was_cut:
            self.outcome = 'cut'
        return self.outcome

    def send_head(self, head: ResponseHead, body_length: int | None) -> None:
        """Send the head.

        `body_length`, if given, replaces the content length that the
        upstream announced, except in the response to a HEAD request.
        """
        headers = select_end_to_end_headers(head.headers)
        added_headers = {REQUEST_ID_HEADER: self._request_id}
        content_length = _forwarded_content_length(head)
        if body_length is not None and self.exchange.head.method != 'HEAD':
            content_length = str(body_length)
        if head.status in _BODILESS_STATUSES:
            content_length = ''
        if content_length:
            added_headers['content-length'] = content_length
        self.exchange.start_response_nowait(
            head.status,
            (*headers, *encode_headers(added_headers)),
        )

    def send_body(self, action: SendBody) -> None:
        """Send a part of the body, unless the request method is HEAD."""
        if self.exchange.head.method != 'HEAD':
            self.exchange.write_body_chunk(action.body)

    def finish_response(self, action: FinishResponse) -> None:
        """End a complete response."""
        self.exchange.finish_response_nowait()
        self._end('answered')

    def send_refusal(self, action: Refuse) -> None:
        """Count the refusal and send it as a problem document."""
        send_refusal(
            self.exchange,
            action.refusal,
            self._request_id,
            self._metrics,
            self._service_class,
        )
        self._end(action.refusal.reason.value)

    def fail_stream(self, action: EndStreamWithError) -> None:
        """End an event stream with an error event, without `[DONE]`."""
        document = build_problem_document(action.refusal, self._request_id)
        self.exchange.write_body_chunk(
            b'event: error\ndata: ' + document + b'\n\n'
        )
        self.exchange.finish_response_nowait()
        self._end_with_refusal(action.refusal)

    def abort_connection(self, action: AbortCallerConnection) -> None:
        """Count the refusal and abort the caller's connection."""
        self.exchange.abort_connection()
        self._end_with_refusal(action.refusal)

    def replay_outcome(self, action: ReplayOutcome) -> None:
        """Respond with the recorded outcome of an earlier call."""
        outcome = action.outcome
        replayed_part = 'whole' if outcome.body_stored else 'status'
        headers = {
            REQUEST_ID_HEADER: self._request_id,
            _REPLAYED_HEADER: replayed_part,
        }
        self.exchange.respond_nowait(
            outcome.status,
            outcome.body,
            outcome.media_type or 'application/octet-stream',
            encode_headers(headers),
        )
        self._end('replayed')

    def _end_with_refusal(self, refusal: Refusal) -> None:
        count_refusal(refusal, self._metrics, self._service_class)
        self._end(refusal.reason.value)

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self.ended.set()


def _forwarded_content_length(head: ResponseHead) -> str:
    """Return the upstream's content length, or '' for an event stream.

    A resumed stream may end up with another length than was announced.
    """
    if head.header('content-type').startswith('text/event-stream'):
        return ''
    return head.header('content-length')
