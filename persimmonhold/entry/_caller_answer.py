"""The answer on the caller's connection.

Invariant: after the answer has ended nothing more is written, whatever is
still under way for the request.
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
    count_refusal,
    problem_document,
    refuse,
)
from persimmonhold.failures import Refusal
from persimmonhold.observability import Metrics
from persimmonhold.web import (
    REQUEST_ID,
    Exchange,
    ResponseHead,
    encode_headers,
    select_end_to_end_headers,
)

_REPLAYED: Final = 'persimmonhold-replayed'
_BODILESS_STATUSES: Final = frozenset((204, 304))


@final
class CallerAnswer:
    """Writes what the life of a request asks for."""

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
        """Create an answer that has not begun."""
        self.exchange = exchange
        self.ended = asyncio.Event()
        self.outcome = 'abandoned'
        self._request_id = request_id
        self._service_class = service_class
        self._metrics = metrics

    def start(self, head: ResponseHead, body_length: int | None) -> None:
        """Send the head; `body_length` replaces the announced length."""
        headers = select_end_to_end_headers(head.headers)
        own = {REQUEST_ID: self._request_id}
        length = _announced_length(head)
        if body_length is not None and self.exchange.head.method != 'HEAD':
            length = str(body_length)
        if head.status in _BODILESS_STATUSES:
            length = ''
        if length:
            own['content-length'] = length
        self.exchange.start_nowait(
            head.status,
            (*headers, *encode_headers(own)),
        )

    def send(self, action: SendBody) -> None:
        """Send a part of the body."""
        if self.exchange.head.method != 'HEAD':
            self.exchange.write(action.body)

    def finish(self, action: FinishResponse) -> None:
        """End a whole answer."""
        self.exchange.finish_nowait()
        self._end('answered')

    def refuse(self, action: Refuse) -> None:
        """Answer with a problem document."""
        refuse(
            self.exchange,
            action.refusal,
            self._request_id,
            self._metrics,
            self._service_class,
        )
        self._end(action.refusal.reason.value)

    def fail_stream(self, action: EndStreamWithError) -> None:
        """End a stream of events without `[DONE]`."""
        document = problem_document(action.refusal, self._request_id)
        self.exchange.write(b'event: error\ndata: ' + document + b'\n\n')
        self.exchange.finish_nowait()
        self._break(action.refusal)

    def abort(self, action: AbortCallerConnection) -> None:
        """Break the connection."""
        self.exchange.abort()
        self._break(action.refusal)

    def replay(self, action: ReplayOutcome) -> None:
        """Answer with a recorded outcome."""
        outcome = action.outcome
        replayed = 'whole' if outcome.body_stored else 'status'
        headers = {REQUEST_ID: self._request_id, _REPLAYED: replayed}
        self.exchange.respond_nowait(
            outcome.status,
            outcome.body,
            outcome.media_type or 'application/octet-stream',
            encode_headers(headers),
        )
        self._end('replayed')

    def _break(self, refusal: Refusal) -> None:
        count_refusal(refusal, self._metrics, self._service_class)
        self._end(refusal.reason.value)

    def _end(self, outcome: str) -> None:
        self.outcome = outcome
        self.ended.set()


def _announced_length(head: ResponseHead) -> str:
    """Return the announced length; none of a stream that may be resumed."""
    if head.header('content-type').startswith('text/event-stream'):
        return ''
    return head.header('content-length')
