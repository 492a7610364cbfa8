"""Sends one request to one upstream and relays the response."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.attempts import (
    AttemptActions,
    AttemptFault,
    Connect,
    RequestPhase,
    RequestStateMachine,
    ResponseVerdict,
    UpstreamResponseHead,
    judge_response,
)
from persimmonhold.catalogue import ServiceClass
from persimmonhold.entry._caller_response import CallerResponse
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.failures import Failure, Ran
from persimmonhold.observability import LogLevel, log_event, metric
from persimmonhold.web import (
    PRIORITY_HEADER,
    RAN_HEADER,
    REQUEST_ID_HEADER,
    RESUME_OFFSET_HEADER,
    Address,
    BodyEnd,
    ClientConnection,
    ClientRequest,
    LateResponseSkipper,
    ResponseBodySink,
    ResponseHead,
    StallDetector,
    encode_headers,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 2.0
_STALL_TIMEOUT_S: Final = 5.0
_BATCH_STALL_TIMEOUT_S: Final = 60.0
_ActionPerformer: TypeAlias = Callable[[AttemptActions], None]


@final
class AttemptRunner(ResponseBodySink):
    """Runs one attempt and feeds its events to the request's state machine.

    Only an idempotent request uses a pooled connection or has a stall
    timeout.
    """

    def __init__(
        self,
        services: EntryServices,
        request: ParsedRequest,
        machine: RequestStateMachine,
        caller_response: CallerResponse,
        connect_action: Connect,
        priority: int,
        perform_actions: _ActionPerformer,
    ) -> None:
        """Create the runner of the attempt that a `Connect` action requests.

        `perform_actions` receives the actions that the state machine returns.
        """
        self.attempt_number = connect_action.attempt_number
        self.response_head = ResponseHead(status=0, headers=())
        self.first_byte_at = 0.0
        self.longest_gap_s = 0.0
        self._last_byte_at = 0.0
        self._services = services
        self._request = request
        self._machine = machine
        self._caller_response = caller_response
        self._connect_action = connect_action
        self._priority = priority
        self._perform_actions = perform_actions
        self._fault = AttemptFault.connection_lost
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Run the attempt until it has succeeded, failed or been cancelled."""
        address = parse_address(self._connect_action.address)
        if isinstance(address, Failed):
            self._record_failure(
                AttemptFault.connect_failed, has_sent_bytes=False
            )
            return
        connection = self._acquire_pooled_connection(address.unwrap())
        if connection is not None and await self._run_on_connection(connection):
            return
        opened = await ClientConnection.connect(
            address.unwrap(),
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(opened, Failed):
            self._record_failure(
                AttemptFault.connect_failed, has_sent_bytes=False
            )
        else:
            await self._run_on_connection(opened.unwrap())

    def cancel_attempt(self, fault: AttemptFault | None) -> None:
        """Close the connection; data that still arrives on it is discarded.

        `fault` is the cause to record, or None to leave it unchanged.
        """
        if fault is not None:
            self._fault = fault
        if self._connection is not None:
            self._connection.mark_failed('cancelled')

    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Pass response bytes that were read to the state machine.

        They are buffered or relayed to the caller. Returns False to pause
        reading, because the caller reads slowly or the attempt is over.
        """
        connection = self._connection
        if connection is None:
            return False
        self._record_read(connection.last_read_at)
        if self._machine.phase is RequestPhase.holding:
            self._perform_actions(
                self._machine.buffer_chunk(self.attempt_number, chunk)
            )
            return True
        forwarded = self._machine.relay_chunk(self.attempt_number, chunk)
        if self._machine.response.event_framer.has_failed:
            self._abort_connection(AttemptFault.upstream_error)
        if not forwarded:
            return True
        return self._caller_response.exchange.write_body_chunk(forwarded)

    def _acquire_pooled_connection(
        self, address: Address
    ) -> ClientConnection | None:
        """Return a pooled connection if the request is idempotent."""
        if not self._request.properties.is_idempotent:
            return None
        return self._services.pool.acquire(
            address,
            _now(),
            request_id=self._request.admission_request.request_id,
        )

    async def _run_on_connection(self, connection: ClientConnection) -> bool:
        """Send the request on a connection and receive the response.

        Returns False if it was a pooled connection that the peer had closed,
        so that the attempt may use a new one.
        """
        is_fresh = connection.bytes_written == 0
        self._connection = connection
        self._caller_response.exchange.on_writable = connection.resume_reading
        try:
            with StallDetector(
                connection, self._stall_timeout_s(), self._handle_stall
            ):
                return await self._send_and_receive(connection, is_fresh)
        finally:
            self._connection = None
            self._services.pool.release(connection, _now())

    async def _send_and_receive(
        self,
        connection: ClientConnection,
        is_fresh: bool,
    ) -> bool:
        self._machine.request_sent(self.attempt_number)
        if self._machine.phase is not RequestPhase.sent:
            return True
        bytes_before = connection.bytes_written
        sent = await connection.send_request(self._build_client_request())
        judged = await self._receive_head(connection, is_fresh=is_fresh)
        if isinstance(sent, Failed) or isinstance(judged, Failed):
            has_sent_bytes = connection.bytes_written > bytes_before
            was_closed = (
                self._fault is AttemptFault.connection_lost
                and not connection.has_received
            )
            if not is_fresh and was_closed:
                return self._machine.phase is not RequestPhase.sent
            self._record_failure(self._fault, has_sent_bytes=has_sent_bytes)
            return True
        verdict = judged.unwrap()
        if not verdict.is_for_request:
            self._record_unaccepted(verdict)
            self._abort_connection(AttemptFault.upstream_error)
            self._record_failure(self._fault, has_sent_bytes=True)
            return True
        self._perform_actions(
            self._machine.head_received(
                self.attempt_number,
                _convert_response_head(
                    self.response_head,
                    is_not_run=verdict is ResponseVerdict.not_run,
                ),
            ),
        )
        if self._is_relaying:
            self._handle_body_end(await connection.stream_body(self))
        return True

    async def _receive_head(
        self, connection: ClientConnection, *, is_fresh: bool
    ) -> Result[ResponseVerdict, Failure]:
        """Receive a head, past late responses, and judge whose it is."""
        late_responses = LateResponseSkipper(connection)
        while True:
            head = await connection.receive_head()
            if isinstance(head, Failed):
                return head
            self.response_head = head.unwrap()
            verdict = self._judge_response(connection, is_fresh=is_fresh)
            if verdict is not ResponseVerdict.earlier_request:
                return Success(verdict)
            self._record_unaccepted(verdict)
            skipped = await late_responses.skip(
                self.response_head, self.response_head.header(REQUEST_ID_HEADER)
            )
            if isinstance(skipped, Failed):
                if self._fault is AttemptFault.connection_lost:
                    self._abort_connection(AttemptFault.upstream_error)
                return skipped

    def _judge_response(
        self, connection: ClientConnection, *, is_fresh: bool
    ) -> ResponseVerdict:
        """Judge whose response was received.

        A connection is kept only if its upstream names the request in each
        response, so that an earlier one that arrives once more is recognised.
        """
        named_id = self.response_head.header(REQUEST_ID_HEADER)
        if not named_id:
            connection.is_kept_open = False
        return judge_response(
            named_id,
            self._request.admission_request.request_id,
            states_not_run=_states_not_run(self.response_head),
            must_be_named=not is_fresh,
            carried_ids=connection.carried_ids,
        )

    def _record_unaccepted(self, verdict: ResponseVerdict) -> None:
        """Log and count a response that is not this request's."""
        self._services.metrics.increment(
            metric.UNACCEPTED_RESPONSES, verdict=verdict.value
        )
        log_event(
            'response_not_accepted',
            LogLevel.warning,
            request_id=self._request.admission_request.request_id,
            upstream=self._connect_action.upstream,
            verdict=verdict.value,
            status=self.response_head.status,
            not_run_stated=_states_not_run(self.response_head),
        )

    @property
    def _is_relaying(self) -> bool:
        is_response_phase = self._machine.phase in {
            RequestPhase.holding,
            RequestPhase.streaming,
        }
        return (
            is_response_phase
            and self._machine.attempt_number == self.attempt_number
        )

    def _handle_body_end(self, body_result: Result[None, Failure]) -> None:
        if isinstance(body_result, Failed):
            self._record_failure(self._fault, has_sent_bytes=True)
        else:
            self._perform_actions(self._machine.body_ended(self.attempt_number))

    def _record_failure(
        self, fault: AttemptFault, *, has_sent_bytes: bool
    ) -> None:
        self._perform_actions(
            self._machine.attempt_failed(
                self.attempt_number, fault, has_sent_bytes=has_sent_bytes
            ),
        )

    def _handle_stall(self) -> bool:
        """Retry at another upstream that is free; return True to wait on.

        A sound upstream may pause. Without another one, giving up would only
        end the response, unless its upstream is lost. The retry is dispatched
        at once, so two stalled requests cannot both count on one place.
        """
        request_id = self._request.admission_request.request_id
        upstream = self._connect_action.upstream
        if not self._services.hub.should_give_up(request_id, upstream):
            return True
        log_event('attempt_stalled', request_id=request_id, upstream=upstream)
        self._record_failure(AttemptFault.stalled, has_sent_bytes=True)
        return False

    def _abort_connection(self, fault: AttemptFault) -> None:
        self._fault = fault
        if self._connection is not None:
            self._connection.mark_failed(fault.value)

    def _stall_timeout_s(self) -> float:
        if not self._request.properties.is_idempotent:
            return 0
        if self._request.admission_request.service_class is ServiceClass.batch:
            return _BATCH_STALL_TIMEOUT_S
        return _STALL_TIMEOUT_S

    def _build_client_request(self) -> ClientRequest:
        added_headers = {
            REQUEST_ID_HEADER: self._request.admission_request.request_id
        }
        if self._request.properties.is_generation:
            added_headers[PRIORITY_HEADER] = str(self._priority)
        if self._connect_action.resume_offset:
            added_headers[RESUME_OFFSET_HEADER] = str(
                self._connect_action.resume_offset
            )
        return ClientRequest(
            method=self._request.method,
            target=self._request.target,
            headers=(*self._request.headers, *encode_headers(added_headers)),
            body=self._request.body,
            request_id=self._request.admission_request.request_id,
        )

    def _record_read(self, read_at: float) -> None:
        if not self.first_byte_at:
            self.first_byte_at = read_at
            self._services.hub.record_first_token(
                self._request.admission_request.request_id
            )
        elif read_at - self._last_byte_at > self.longest_gap_s:
            self.longest_gap_s = read_at - self._last_byte_at
        self._last_byte_at = read_at


def _states_not_run(head: ResponseHead) -> bool:
    return head.header(RAN_HEADER) == Ran.no.value


def _convert_response_head(
    head: ResponseHead, *, is_not_run: bool
) -> UpstreamResponseHead:
    content_length = head.header('content-length')
    return UpstreamResponseHead(
        status=head.status,
        media_type=head.header('content-type'),
        is_not_run=is_not_run,
        content_length=int(content_length)
        if content_length.isdecimal()
        else None,
        ends_with_connection=head.body_end is BodyEnd.connection,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
