"""Runs one attempt to have a request answered by an upstream."""

import asyncio
import math
from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.attempts import EventBoundary
from persimmonhold.failures import Failure
from persimmonhold.fleet import AttemptEnd, SendRequest, UpstreamFacts
from persimmonhold.forwarding._attempt_limits import AttemptLimits
from persimmonhold.forwarding._attempt_progress import AttemptProgress
from persimmonhold.forwarding._attempt_result import (
    AttemptResult,
    CompleteResponse,
)
from persimmonhold.forwarding._buffered_body import BufferedBody
from persimmonhold.forwarding._decoded_response_head import (
    DecodedResponseHead,
)
from persimmonhold.forwarding._forward_parameters import ForwardParameters
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._response_receiver import ResponseReceiver
from persimmonhold.forwarding._resumable_event_framer import (
    ResumableEventFramer,
)
from persimmonhold.quarantine import PROOF_S
from persimmonhold.routes import ForwardRoute, KeyVerdict
from persimmonhold.web import (
    BodyEnd,
    ClientConnection,
    ClientRequest,
    ResponseBodySink,
    ResponseHead,
    StallDetector,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 0.4  # covers two lost packets on a path of a few ms
_FIRST_NON_SUCCESS_STATUS: Final = 300
# Callers take these statuses as a promise that the request did not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 425, 429, 503))
_FIRST_SERVER_ERROR_STATUS: Final = 500
# A response head may take this many times the latency target of the route; a
# healthy upstream responds within that time.
_HEAD_TIMEOUT_TARGETS: Final = 2.0
_MIN_STALL_TIMEOUT_S: Final = 0.3  # for routes with a short latency target
# Four usual pauses between events; callers leave after two seconds.
_EVENT_STALL_TIMEOUT_S: Final = 1.0
_MS_PER_S: Final = 1000
_MIN_DEADLINE_MS: Final = 1


@final
class ForwardAttempt(ResponseBodySink):
    """Sends a request to one upstream and relays the response to the caller.

    A response other than an event stream is buffered up to a limit, so that
    a broken one can still be replaced; events are sent as they arrive. The key is
    checked right before the request is sent, for `verdict_on_key`.
    """

    def __init__(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        response_writer: ForwardResponseWriter,
        event_framer: ResumableEventFramer,
        action: SendRequest,
        limits: AttemptLimits,
    ) -> None:
        """Create an attempt at the upstream that the dispatcher chose."""
        self.services = services
        self.request = request
        self.response_writer = response_writer
        self.event_framer = event_framer
        self.action = action
        self.limits = limits
        self.connection: ClientConnection | None = None
        self.head = ResponseHead(status=0, headers=())
        self.buffered = BufferedBody()
        self.event_boundary = EventBoundary()
        self.first_event_at = 0.0
        self.is_proven = False
        self.is_event_stream = False
        self.is_streaming = False
        self.progress = AttemptProgress()
        self.verdict_on_key = KeyVerdict()

    def supersede(self) -> None:
        """Fail the attempt, as another one goes on with the response."""
        self.progress.is_superseded = True
        self.progress.is_given_up = True
        self._fail_connection('superseded by another attempt')

    async def run(self) -> AttemptResult:
        """Run the attempt, and tell how its response ended."""
        result = await self._run_on_any_connection()
        has_head = self.head.status > 0
        is_incomplete = (
            result.response is None
            and not result.is_delivered
            and not result.is_refusal
        )
        return msgspec.structs.replace(
            result,
            is_cut=is_incomplete
            and (
                _has_process_ended(result)
                or (result.may_have_run and self.progress.is_cut)
            ),
            is_silent=result.end is AttemptEnd.silent and not has_head,
            streamed_s=(
                self.services.hub.clock() - self.first_event_at
                if self.first_event_at
                else None
            ),
            body_end=self.head.body_end.value if has_head else '',
            is_within_event=self.event_boundary.is_within_event,
            requests_before=self.progress.requests_before,
        )

    @property
    def has_written(self) -> bool:
        """Whether the request was sent, at least in part."""
        return self.progress.has_written

    @property
    def is_waiting(self) -> bool:
        """Whether the request was sent and no response has begun."""
        return self.progress.has_written and not self.head.status

    @property
    def stage(self) -> str:
        """How far the attempt has got, for the log of a cancelled one."""
        if self.head.status:
            return 'response begun'
        return 'request sent' if self.progress.has_written else 'connecting'

    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Buffer or relay a part of the body; return whether to read on."""
        self.services.hub.record_first_byte(
            self.request.dispatch_request.number
        )
        if self.is_event_stream:
            self._record_events(chunk)
        if not self.is_streaming:
            budget = self.response_writer.exchange.budget
            if self.buffered.add(chunk, budget):
                return True
            self.is_streaming = True
            chunk = bytes(self.buffered)
            self.buffered.clear()
        elif self._is_framing_events:
            chunk = self.event_framer.feed(chunk)
            if self.event_framer.is_event_too_long:
                self._fail_connection('event too long')
                return False
            if not self.event_framer.goes_on:
                self._fail_connection('stream not resumed after its last event')
                return False
        return self._write_to_caller(chunk)

    @property
    def _is_framing_events(self) -> bool:
        """Tell whether only complete events are relayed to the caller."""
        route = self.request.dispatch_request.route
        return self.is_event_stream and route.is_resumable

    def _record_events(self, chunk: bytes) -> None:
        """Follow the stream; tell once that the upstream goes on with it."""
        self.event_boundary.feed(chunk)
        hub = self.services.hub
        now = hub.clock()
        if not self.first_event_at:
            self.first_event_at = now
        elif not self.is_proven and now - self.first_event_at >= PROOF_S:
            self.is_proven = True
            hub.record_prompt_answered(
                self.request.dispatch_request.profile, self.first_event_at
            )

    def _write_to_caller(self, chunk: bytes) -> bool:
        """Send a part of the body; return whether to read on at once."""
        connection = self.connection
        if not chunk or connection is None:
            return True
        if not self._claim_response():
            return False
        if not self.response_writer.has_begun:
            self.response_writer.write_head(self.head, None)
            if self.is_event_stream:
                self.services.hub.streams.record_begun(
                    self.request.dispatch_request, self.action.upstream
                )
        return self.response_writer.write_body_chunk(
            chunk, connection.resume_reading
        )

    def _claim_response(self) -> bool:
        """Make this the only attempt; False if another one has become that."""
        if not self.progress.is_superseded:
            self.limits.monitor.claim_response(
                self.request.dispatch_request.number
            )
        return not self.progress.is_superseded

    async def _run_on_any_connection(self) -> AttemptResult:
        """Run the attempt; reconnect if a pooled connection was closed."""
        pooled = self._take_pooled_connection()
        if pooled is None:
            return await self._run_on_new_connection()
        before = pooled.bytes_written
        result = await self._run_on_connection(pooled)
        if result is not None:
            return result
        result = await self._run_on_new_connection()
        return msgspec.structs.replace(
            result, is_unanswered=pooled.bytes_written > before
        )

    async def _run_on_new_connection(self) -> AttemptResult:
        address = parse_address(self.action.upstream.address)
        if isinstance(address, Failed):
            return _unreachable_result('invalid upstream address')
        opened = await ClientConnection.connect(
            address.unwrap(),
            _CONNECT_TIMEOUT_S,
        )
        reach = self.services.reach
        service = self.request.dispatch_request.service
        if isinstance(opened, Failed):
            reach.record_failure(service, self.action.upstream.name)
            return _unreachable_result(opened.failure().detail)
        reach.monitor.record_connected(service)
        result = await self._run_on_connection(opened.unwrap())
        return result or _failed_result(
            AttemptEnd.failed, 'connection closed without a response'
        )

    def _take_pooled_connection(self) -> ClientConnection | None:
        """Return an idle connection that the request may use, or None.

        One with a permit gets none: the upstream may close such a connection
        before it responds, and the request would be sent twice with one permit.
        """
        if math.isfinite(self.limits.usable_until):
            return None
        address = parse_address(self.action.upstream.address)
        if isinstance(address, Failed):
            return None
        return self.services.pool.acquire(
            address.unwrap(),
            _now(),
            is_repeatable=self.request.dispatch_request.route.is_repeatable,
            request_id=self.request.dispatch_request.profile.request_id,
        )

    async def _run_on_connection(
        self,
        connection: ClientConnection,
    ) -> AttemptResult | None:
        """Run the attempt over a connection, then release it to the pool.

        Returns None if a pooled connection was closed without a response.
        """
        is_used = connection.bytes_written > 0
        self.connection = connection
        try:
            return await self._send_and_receive(connection, is_used=is_used)
        finally:
            self._release(connection)

    def _release(self, connection: ClientConnection) -> None:
        """Return the connection to the pool, which closes a broken one."""
        self.connection = None
        self.buffered.clear()
        self.progress.is_cut = connection.has_peer_closed
        self.services.pool.release(connection, _now())

    async def _send_and_receive(
        self,
        connection: ClientConnection,
        *,
        is_used: bool,
    ) -> AttemptResult | None:
        """Send the request, and check and relay the response.

        Returns None if a used connection was closed without a response.
        """
        sent_at = self.services.hub.clock()
        self.verdict_on_key = self.services.keys.check_request(self.request)
        unsendable = self._check_sending(sent_at)
        if unsendable is not None:
            connection.mark_failed(unsendable.detail)
            return unsendable
        self.progress.has_written = True
        self.progress.written_at = _now()
        self.progress.requests_before = len(connection.carried_ids)
        before = connection.bytes_written
        sent = await connection.send_request(
            _build_client_request(
                self.services,
                self.request,
                self.action.upstream,
                self.event_framer.last_id,
                self.verdict_on_key,
            )
        )
        if isinstance(sent, Failed) and connection.bytes_written == before:
            # Nothing was written, so a new connection may still be tried.
            return (
                None if is_used else _unreachable_result(sent.failure().detail)
            )
        request_id = self.request.dispatch_request.profile.request_id
        receiver = ResponseReceiver(self.services, connection)
        with StallDetector(
            connection,
            _head_timeout_s(self.request.dispatch_request.route),
            self._handle_stall,
            counts_reads=False,
        ):
            received = await receiver.receive_head(
                self.action.upstream, request_id, sent_at
            )
        if isinstance(received, Failed):
            was_closed = (
                not isinstance(sent, Failed) and not connection.has_received
            )
            return self._build_headless_result(
                received.failure(), may_reconnect=is_used and was_closed
            )
        self.head = received.unwrap().head
        if self.progress.is_overdue:
            self.services.hub.quarantine.silent.drop(
                self.action.upstream.process_key, request_id
            )
        verdict = received.unwrap().verdict
        if not verdict.is_for_request:
            connection.mark_failed(verdict.value)
            return _failed_result(
                AttemptEnd.failed, f'response not accepted: {verdict.value}'
            )
        return await self._read_response(connection, received.unwrap().decoded)

    def _build_headless_result(
        self, failure: Failure, *, may_reconnect: bool
    ) -> AttemptResult | None:
        """Return the result without a head; None if it may be sent again."""
        if self.progress.is_given_up:
            return _failed_result(AttemptEnd.silent, 'no response in time')
        if may_reconnect and self.request.dispatch_request.route.is_repeatable:
            return None
        return _failed_result(AttemptEnd.failed, failure.detail)

    def _check_sending(self, now: float) -> AttemptResult | None:
        """Return why the request must not be sent any more, or None."""
        if self.progress.is_superseded:
            return _failed_result(AttemptEnd.silent, 'superseded')
        if self.verdict_on_key.refusal:
            # If written, a pooled connection was closed without a response.
            return AttemptResult(
                end=AttemptEnd.withheld,
                may_have_run=self.progress.has_written,
                detail=self.verdict_on_key.refusal,
            )
        if not self.services.hub.sparing.accepts_sending(
            self.action.upstream.name
        ):
            if self.progress.has_written:
                # It was sent on a pooled connection, which was then closed.
                return _failed_result(AttemptEnd.failed, 'not sent again')
            return build_spared_result()
        if now > self.limits.usable_until:
            return AttemptResult(
                end=AttemptEnd.limited,
                may_have_run=False,
                detail='permit expired',
            )
        return None

    async def _read_response(
        self,
        connection: ClientConnection,
        decoded_head: DecodedResponseHead,
    ) -> AttemptResult:
        """Check what the head states, and relay the body if it is valid."""
        if decoded_head.is_not_run or decoded_head.status in _NOT_RUN_STATUSES:
            return _build_refusal_result(
                connection, decoded_head, self.action.upstream.name
            )
        if (
            decoded_head.status < _FIRST_NON_SUCCESS_STATUS
            and not decoded_head.is_signed
        ):
            connection.mark_failed('response without a signature')
            return _failed_result(
                AttemptEnd.failed, 'response without a signature'
            )
        self.is_event_stream = (
            decoded_head.is_event_stream
            and decoded_head.status < _FIRST_NON_SUCCESS_STATUS
        )
        self.is_streaming = self.is_event_stream
        if self.response_writer.has_begun and not self.is_streaming:
            # A broken event stream can only be resumed by more events.
            connection.mark_failed('not an event stream')
            return _failed_result(
                AttemptEnd.failed, f'status {decoded_head.status}'
            )
        with StallDetector(
            connection,
            _stall_timeout_s(
                self.request.dispatch_request.route,
                is_streaming=self.is_streaming,
            ),
            self._handle_stall,
        ):
            read_result = await connection.stream_body(self)
        return self._build_result(read_result)

    def _build_result(
        self, read_result: Result[None, Failure]
    ) -> AttemptResult:
        """Return the result of an attempt whose body was read or broke off."""
        if isinstance(read_result, Failed):
            return _failed_result(
                AttemptEnd.failed, read_result.failure().detail
            )
        if self.is_streaming:
            return self._finish_stream()
        is_error = self.head.status >= _FIRST_SERVER_ERROR_STATUS
        return AttemptResult(
            end=AttemptEnd.failed if is_error else AttemptEnd.answered,
            may_have_run=True,
            response=CompleteResponse(self.head, bytes(self.buffered)),
            detail=f'status {self.head.status}',
        )

    def _finish_stream(self) -> AttemptResult:
        """End the caller's response, unless its stream was broken off."""
        ends_with_connection = self.head.body_end is BodyEnd.connection
        if self.is_event_stream and self.event_boundary.is_broken_off(
            ends_with_connection=ends_with_connection
        ):
            place = (
                'within an event'
                if self.event_boundary.is_within_event
                else 'before its first event'
            )
            return _failed_result(AttemptEnd.failed, f'stream ended {place}')
        if not self._claim_response():
            return _failed_result(AttemptEnd.failed, 'superseded')
        if not self.response_writer.has_begun:
            self.response_writer.write_head(self.head, None)
        self.response_writer.finish_response()
        return AttemptResult(
            end=AttemptEnd.answered,
            may_have_run=True,
            is_delivered=True,
        )

    def _handle_stall(self) -> bool:
        """Fail a response that pauses; return True to wait on instead.

        A sound upstream may pause, for example to run a more urgent request.
        """
        if self.progress.is_given_up:
            return False
        number = self.request.dispatch_request.number
        process = self.action.upstream.process_key
        if self.is_waiting and not self.progress.is_overdue:
            self.progress.is_overdue = True
            if self.connection is not None:
                self.services.pool.record_silence(
                    self.connection.peer, self.progress.written_at, _now()
                )
            self.services.hedges.record_overdue(number, process)
            self.services.reach.record_failure(
                self.request.dispatch_request.service, process[0]
            )
        if not self.limits.monitor.handle_pause(number):
            return True
        self.progress.is_given_up = True
        self._fail_connection('stalled')
        return False

    def _fail_connection(self, detail: str) -> None:
        """Fail the connection, as its response cannot be relayed."""
        if self.connection is not None:
            self.connection.mark_failed(detail)


def build_spared_result() -> AttemptResult:
    """Return the result of an attempt that its upstream does not want."""
    return AttemptResult(
        end=AttemptEnd.spared,
        may_have_run=False,
        detail='the upstream wants no new requests',
    )


def _has_process_ended(result: AttemptResult) -> bool:
    """Tell whether the upstream closed a kept connection and is gone since."""
    return result.is_unanswered and result.end in {
        AttemptEnd.unreachable,
        AttemptEnd.replaced,
    }


def _unreachable_result(detail: str) -> AttemptResult:
    return AttemptResult(
        end=AttemptEnd.unreachable,
        may_have_run=False,
        detail=detail,
    )


def _failed_result(end: AttemptEnd, detail: str) -> AttemptResult:
    return AttemptResult(end=end, may_have_run=True, detail=detail)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _head_timeout_s(route: ForwardRoute) -> float:
    """Return how long the head may take; 0 for no limit."""
    if not route.is_repeatable:
        return 0
    target_s = route.target_ms / _MS_PER_S
    return max(_MIN_STALL_TIMEOUT_S, _HEAD_TIMEOUT_TARGETS * target_s)


def _stall_timeout_s(route: ForwardRoute, *, is_streaming: bool) -> float:
    """Return the longest pause in a response; 0 for no limit."""
    if not route.is_repeatable:
        return 0
    if is_streaming:
        return _EVENT_STALL_TIMEOUT_S
    return max(_MIN_STALL_TIMEOUT_S, route.target_ms / _MS_PER_S)


def _build_client_request(
    services: ForwardServices,
    request: ForwardRequest,
    upstream: UpstreamFacts,
    resume_after: str,
    verdict_on_key: KeyVerdict,
) -> ClientRequest:
    """Return what is sent to an upstream, after the event with that id."""
    left_s = request.dispatch_request.ends_at - services.hub.clock()
    table = services.routes.table
    parameters = ForwardParameters(
        time_left_ms=max(_MIN_DEADLINE_MS, int(left_s * _MS_PER_S)),
        upstream=upstream.name,
        urgency=table.urgency.find_level(
            verdict_on_key.priority, request.dispatch_request.route.priority
        ),
        resume_after=resume_after,
        has_workspaces=table.has_workspaces,
        workspace=verdict_on_key.workspace_name,
    )
    return ClientRequest(
        method=request.head.method,
        target=request.head.target,
        headers=services.dialect.build_request_headers(
            request.head, parameters
        ),
        body=request.body,
        host=request.head.header('host'),
        request_id=request.dispatch_request.profile.request_id,
    )


def _build_refusal_result(
    connection: ClientConnection,
    decoded_head: DecodedResponseHead,
    upstream: str,
) -> AttemptResult:
    """Return the result of a refusal, whose body is not relayed.

    One that does not state that nothing has run must not reach the caller,
    whatever follows the head, as its status would promise that. The
    connection is kept if the refusal has arrived in full.
    """
    connection.skip_received_body()
    if not decoded_head.is_not_run:
        return AttemptResult(
            end=AttemptEnd.failed,
            may_have_run=True,
            is_refusal=True,
            detail=f'status {decoded_head.status} without proof',
        )
    end = AttemptEnd.full
    if decoded_head.is_misdirected:
        is_other = decoded_head.process not in {'', upstream}
        end = AttemptEnd.replaced if is_other else AttemptEnd.absent
    return AttemptResult(
        end=end,
        may_have_run=False,
        detail=f'status {decoded_head.status}',
    )
