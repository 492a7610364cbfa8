"""Relays one request to another entry, which forwards it to an upstream."""

import asyncio
import re
from typing import Final, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.attempts import ResponseVerdict, judge_response
from persimmonhold.failures import Failure, Ran
from persimmonhold.forwarding._buffered_body import BufferedBody
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._relay_head import build_relay_headers
from persimmonhold.forwarding._relay_result import RelayEnd, RelayResult
from persimmonhold.reach import OUT_OF_REACH
from persimmonhold.web import (
    RAN_HEADER,
    REFUSAL_REASON_HEADER,
    REQUEST_ID_HEADER,
    Address,
    ClientConnection,
    ClientRequest,
    ResponseBodySink,
    ResponseHead,
    encode_headers,
)

_CONNECT_TIMEOUT_S: Final = 0.4  # as for an upstream
_RETRY_AFTER: Final = 'retry-after'
# Callers take these statuses as a promise that the request did not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 425, 429, 503))
_FIRST_ERROR_STATUS: Final = 400
_REASON: Final = re.compile('[a-z_]{1,64}')
_UNKNOWN_REASON: Final = 'refused'
# Refusals that concern the other entry, not the request or the upstreams.
_UNABLE_REASONS: Final = frozenset((
    OUT_OF_REACH,
    'isolated',
    'no_route',
    'revocation_unsure',
    'stopping',
    'unknown_key',
    'unknown_model',
))


@final
class RelayedAttempt(ResponseBodySink):
    """Sends a request to another entry and relays its response to the caller.

    The other entry decides on upstreams and retries, and frames the events of a
    stream; so events are passed on as they arrive, other responses as a whole.
    """

    def __init__(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        response_writer: ForwardResponseWriter,
        run_count: int,
    ) -> None:
        """Create an attempt that has not been sent.

        The request may have run `run_count` times before.
        """
        self.services = services
        self.request = request
        self.response_writer = response_writer
        self.run_count = run_count
        self.connection: ClientConnection | None = None
        self.head = ResponseHead(status=0, headers=())
        self.buffered = BufferedBody()
        self.is_streaming = False

    async def run(self, entry: Address) -> RelayResult:
        """Relay the request to the entry at an address."""
        connection = await self._connect(entry)
        if connection is None:
            return RelayResult(end=RelayEnd.unable, detail='not connected')
        self.connection = connection
        before = connection.bytes_written
        try:
            result = await self._send_and_receive(connection)
        finally:
            self._release(connection)
        if connection.bytes_written == before:
            return RelayResult(end=RelayEnd.unable, detail='not sent')
        return result

    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Buffer or relay a part of the body; return whether to read on."""
        if not self.is_streaming:
            budget = self.response_writer.exchange.budget
            if self.buffered.add(chunk, budget):
                return True
            self.is_streaming = True
            chunk = bytes(self.buffered)
            self.buffered.clear()
        return self._write_to_caller(chunk)

    def _release(self, connection: ClientConnection) -> None:
        """Return the connection to the pool, which closes a broken one."""
        self.connection = None
        self.buffered.clear()
        self.services.pool.release(connection, _now())

    async def _connect(self, entry: Address) -> ClientConnection | None:
        profile = self.request.dispatch_request.profile
        pooled = self.services.pool.acquire(
            entry,
            _now(),
            is_repeatable=self.request.dispatch_request.route.is_repeatable,
            request_id=profile.request_id,
        )
        if pooled is not None:
            return pooled
        opened = await ClientConnection.connect(entry, _CONNECT_TIMEOUT_S)
        return opened.value_or(None)

    async def _send_and_receive(
        self, connection: ClientConnection
    ) -> RelayResult:
        sent = await connection.send_request(self._build_request())
        head = await connection.receive_head()
        if isinstance(head, Failed):
            failure = sent if isinstance(sent, Failed) else head
            return _failed_result(failure.failure().detail)
        self.head = head.unwrap()
        verdict = self._judge_head()
        if not verdict.is_for_request or not self._has_fitting_status(verdict):
            connection.mark_failed(verdict.value)
            return _failed_result(f'response not accepted: {verdict.value}')
        if verdict is ResponseVerdict.not_run:
            connection.skip_received_body()
            return self._build_refusal_result()
        decoded = self.services.dialect.decode_response_head(self.head)
        self.is_streaming = decoded.is_event_stream
        return self._finish(await connection.stream_body(self))

    def _judge_head(self) -> ResponseVerdict:
        """Judge whose response arrived; a refusal names its request itself."""
        decoded = self.services.dialect.decode_response_head(self.head)
        return judge_response(
            self.head.header(REQUEST_ID_HEADER) or decoded.request_id,
            self.request.dispatch_request.profile.request_id,
            states_not_run=self.head.header(RAN_HEADER) == Ran.no.value,
            must_be_named=True,
        )

    def _has_fitting_status(self, verdict: ResponseVerdict) -> bool:
        """Tell whether the status says the same as the other headers."""
        if verdict is ResponseVerdict.not_run:
            return self.head.status >= _FIRST_ERROR_STATUS
        return self.head.status not in _NOT_RUN_STATUSES

    def _build_request(self) -> ClientRequest:
        head = self.request.head
        dispatch_request = self.request.dispatch_request
        return ClientRequest(
            method=head.method,
            target=head.target,
            headers=build_relay_headers(
                self.services.dialect,
                head,
                dispatch_request,
                dispatch_request.ends_at - self.services.hub.clock(),
                self.run_count,
            ),
            body=self.request.body,
            host=head.header('host'),
            request_id=dispatch_request.profile.request_id,
        )

    def _build_refusal_result(self) -> RelayResult:
        reason = self._read_reason()
        retry_after = self.head.header(_RETRY_AFTER)
        return RelayResult(
            end=(
                RelayEnd.unable
                if reason in _UNABLE_REASONS
                else RelayEnd.refused
            ),
            detail=reason,
            status=self.head.status,
            reason=reason,
            headers=(
                encode_headers({_RETRY_AFTER: retry_after})
                if retry_after
                else ()
            ),
        )

    def _read_reason(self) -> str:
        """Return the reason of a refusal if it has the form of one."""
        reason = self.head.header(REFUSAL_REASON_HEADER)
        return reason if _REASON.fullmatch(reason) else _UNKNOWN_REASON

    def _write_to_caller(self, chunk: bytes) -> bool:
        connection = self.connection
        if not chunk or connection is None:
            return True
        if not self.response_writer.has_begun:
            self.response_writer.write_head(self.head, None)
        return self.response_writer.write_body_chunk(
            chunk, connection.resume_reading
        )

    def _finish(self, read_result: Result[None, Failure]) -> RelayResult:
        """End the caller's response, unless the other one broke off."""
        if isinstance(read_result, Failed):
            return _failed_result(read_result.failure().detail)
        if self.is_streaming:
            if not self.response_writer.has_begun:
                self.response_writer.write_head(self.head, None)
            self.response_writer.finish_response()
        else:
            self.response_writer.write_complete_response(
                self.head, bytes(self.buffered)
            )
        return RelayResult(
            end=RelayEnd.delivered, detail=f'status {self.head.status}'
        )


def _failed_result(detail: str) -> RelayResult:
    return RelayResult(end=RelayEnd.failed, detail=detail)


def _now() -> float:
    return asyncio.get_running_loop().time()
