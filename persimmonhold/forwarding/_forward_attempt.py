"""One attempt at one upstream."""

import asyncio
from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.failures import Failure
from persimmonhold.fleet import AttemptEnd, SendRequest
from persimmonhold.forwarding._attempt_result import (
    AttemptResult,
    CompleteResponse,
)
from persimmonhold.forwarding._caller_response import CallerResponse
from persimmonhold.forwarding._event_framer import EventFramer
from persimmonhold.forwarding._forward_parameters import ForwardParameters
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._upstream_response_head import (
    UpstreamResponseHead,
)
from persimmonhold.routes import RouteKind
from persimmonhold.web import (
    BodySink,
    ClientConnection,
    ClientRequest,
    ResponseHead,
    StallWatch,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 0.4  # two lost packets on a path of some ms
_MAX_HELD_BYTES: Final = 262_144  # answers of services have some kilobytes
_FIRST_ERROR: Final = 300
_SERVER_ERROR: Final = 500
_STALL_TARGETS: Final = 2.0  # a sound upstream answers within its target
_LEAST_STALL_S: Final = 0.3
_EVENT_STALL_S: Final = 1.0  # four pauses; callers leave after two seconds
_MS_PER_S: Final = 1000
_LEAST_DEADLINE_MS: Final = 1


@final
class ForwardAttempt(BodySink):
    """Sends the request and relays what comes back.

    A whole answer that is no stream is held until its end, so that a broken
    one can still be replaced; events go to the caller as they arrive.
    """

    def __init__(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        response: CallerResponse,
        event_framer: EventFramer,
        action: SendRequest,
    ) -> None:
        """Create an attempt that the dispatcher has asked for."""
        self.services = services
        self.request = request
        self.response = response
        self.event_framer = event_framer
        self.action = action
        self.connection: ClientConnection | None = None
        self.head = ResponseHead(status=0, headers=())
        self.buffered = bytearray()
        self.is_streaming = False
        self.has_written = False

    async def run(self) -> AttemptResult:
        """Perform the attempt to its end."""
        pooled = self._pooled()
        if pooled is not None:
            answered = await self._exchange(pooled)
            if answered is not None:
                return answered
        address = parse_address(self.action.upstream.address)
        if isinstance(address, Failed):
            return _unreachable('bad address')
        opened = await ClientConnection.connect(
            address.unwrap(),
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(opened, Failed):
            return _unreachable(opened.failure().detail)
        answered = await self._exchange(opened.unwrap())
        return answered or _failed(AttemptEnd.failed, 'closed unanswered')

    def take(self, chunk: bytes) -> bool:
        """Take what one read brought of the body."""
        self.services.hub.record_first_byte(self.request.ticket.number)
        if not self.is_streaming:
            self.buffered += chunk
            if len(self.buffered) <= _MAX_HELD_BYTES:
                return True
            self.is_streaming = True
            chunk = bytes(self.buffered)
            self.buffered.clear()
        elif self._relays_events:
            chunk = self.event_framer.feed(chunk)
        return self._forward(chunk)

    @property
    def _relays_events(self) -> bool:
        return self.request.ticket.route.is_resumable

    def _forward(self, chunk: bytes) -> bool:
        connection = self.connection
        if not chunk or connection is None:
            return True
        if not self.response.has_begun:
            self.response.start(self.head, None)
        return self.response.write(chunk, connection.resume_reading)

    def _pooled(self) -> ClientConnection | None:
        """Return a used connection for what may be repeated."""
        route = self.request.ticket.route
        if route.kind is not RouteKind.idempotent:
            return None
        address = parse_address(self.action.upstream.address).unwrap()
        return self.services.pool.take(address, _now())

    async def _exchange(
        self,
        connection: ClientConnection,
    ) -> AttemptResult | None:
        """Return the result; None of a used connection that was closed."""
        is_used = connection.bytes_written > 0
        self.connection = connection
        try:
            result = await self._converse(connection, is_used=is_used)
        except TimeoutError:
            connection.fail('no answer in time')
            result = _failed(AttemptEnd.silent, 'no answer in time')
        finally:
            self.connection = None
            self.services.pool.put(connection, _now())
        return result

    async def _converse(
        self,
        connection: ClientConnection,
        *,
        is_used: bool,
    ) -> AttemptResult | None:
        self.has_written = True
        sent = await connection.send(self._client_request())
        if isinstance(sent, Failed) and connection.bytes_written == 0:
            return _unreachable(sent.failure().detail)
        async with asyncio.timeout(self._head_timeout_s()):
            head = await connection.receive_head()
        if isinstance(head, Failed):
            if is_used and not isinstance(sent, Failed):
                return None
            return _failed(AttemptEnd.failed, head.failure().detail)
        self.head = head.unwrap()
        answer = self.services.dialect.decode_response_head(
            self.head,
            self.request.ticket.profile.request_id,
        )
        if not answer.is_for_request:
            connection.fail('answer to another request')
            return _failed(AttemptEnd.failed, 'answer to another request')
        return await self._read_answer(connection, answer)

    async def _read_answer(
        self,
        connection: ClientConnection,
        answer: UpstreamResponseHead,
    ) -> AttemptResult:
        if answer.is_not_run:
            return self._not_run(connection, answer)
        if answer.status < _FIRST_ERROR and not answer.is_signed:
            connection.fail('answer without a signature')
            return _failed(AttemptEnd.failed, 'answer without a signature')
        self.is_streaming = (
            answer.is_event_stream and answer.status < _FIRST_ERROR
        )
        if self.response.has_begun and not self.is_streaming:
            # Only events can go on where a stream broke off.
            connection.fail('no events')
            return _failed(AttemptEnd.failed, f'status {answer.status}')
        with StallWatch(connection, self._stall_s(), self._stalled):
            pumped = await connection.pump(self)
        return self._ended(pumped)

    def _ended(self, pumped: Result[None, Failure]) -> AttemptResult:
        if isinstance(pumped, Failed):
            return _failed(AttemptEnd.failed, pumped.failure().detail)
        if self.is_streaming:
            return self._end_stream()
        is_error = self.head.status >= _SERVER_ERROR
        return AttemptResult(
            end=AttemptEnd.failed if is_error else AttemptEnd.answered,
            may_have_run=True,
            response=CompleteResponse(self.head, bytes(self.buffered)),
            detail=f'status {self.head.status}',
        )

    def _end_stream(self) -> AttemptResult:
        if self.event_framer.partial:
            return _failed(AttemptEnd.failed, 'ended within an event')
        if not self.response.has_begun:
            self.response.start(self.head, None)
        self.response.finish()
        return AttemptResult(
            end=AttemptEnd.answered,
            may_have_run=True,
            is_delivered=True,
        )

    def _not_run(
        self,
        connection: ClientConnection,
        answer: UpstreamResponseHead,
    ) -> AttemptResult:
        """Tell why the upstream did not run the request."""
        connection.fail('refused')
        end = AttemptEnd.full
        if answer.is_misdirected:
            is_other = answer.process not in {'', self.action.upstream.name}
            end = AttemptEnd.replaced if is_other else AttemptEnd.absent
        return AttemptResult(
            end=end,
            may_have_run=False,
            detail=f'status {answer.status}',
        )

    def _stalled(self) -> None:
        if self.connection is not None:
            self.connection.fail('stalled')

    def _head_timeout_s(self) -> float | None:
        """Return how long to wait for a head; None to the end."""
        route = self.request.ticket.route
        if not route.is_repeatable:
            return None
        target_s = route.target_ms / _MS_PER_S
        return max(_LEAST_STALL_S, _STALL_TARGETS * target_s)

    def _stall_s(self) -> float:
        """Return the longest silence in an answer; 0 waits to the end."""
        route = self.request.ticket.route
        if not route.is_repeatable:
            return 0
        if self.is_streaming:
            return _EVENT_STALL_S
        return max(_LEAST_STALL_S, route.target_ms / _MS_PER_S)

    def _client_request(self) -> ClientRequest:
        request = self.request
        left_s = request.ticket.ends_at - self.services.hub.clock()
        terms = ForwardParameters(
            time_left_ms=max(_LEAST_DEADLINE_MS, int(left_s * _MS_PER_S)),
            upstream=self.action.upstream.name,
            urgency=min(9, max(0, request.ticket.route.priority)),
            resume_after=self.event_framer.last_id,
        )
        return ClientRequest(
            method=request.head.method,
            target=request.head.target,
            headers=self.services.dialect.build_request_headers(
                request.head,
                terms,
            ),
            body=request.body,
            host=request.head.header('host'),
        )


def _unreachable(detail: str) -> AttemptResult:
    return AttemptResult(
        end=AttemptEnd.unreachable,
        may_have_run=False,
        detail=detail,
    )


def _failed(end: AttemptEnd, detail: str) -> AttemptResult:
    return AttemptResult(end=end, may_have_run=True, detail=detail)


def _now() -> float:
    return asyncio.get_running_loop().time()
