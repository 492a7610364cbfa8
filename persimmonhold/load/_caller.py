"""Sends one planned request to the entries, as a caller does."""

import asyncio
import hashlib
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.failures import Failure
from persimmonhold.load._entry_directory import EntryDirectory
from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._stream_validator import StreamValidator
from persimmonhold.load._token_timings import TokenTimings
from persimmonhold.standin import Generation
from persimmonhold.web import (
    RAN_HEADER,
    ClientConnection,
    ClientRequest,
    ResponseHead,
)

_CONNECT_TIMEOUT_S: Final = 2.0
# How long the caller avoids an entry after a failed connection to it.
_UNREACHABLE_S: Final = 3.0
_MAX_SENDS: Final = 4
_RESEND_DELAY_S: Final = 0.5
_FIRST_ERROR_STATUS: Final = 400
# The caller gives up on a request after this multiple of its time limit.
_TIME_LIMITS_TO_WAIT: Final = 2


@final
class Caller:
    """Sends one planned request until finished, at most `_MAX_SENDS` times.

    A request is sent again, to an entry that is chosen anew, if the
    connection could not be established. A call with an idempotency key is
    also sent again after a refusal and after a connection that was lost
    before the response head. Nothing else is sent again.
    """

    __slots__ = ('_directory', '_loop', '_planned', '_started_at', 'outcome')

    def __init__(
        self,
        planned: PlannedRequest,
        directory: EntryDirectory,
        started_at: float,
    ) -> None:
        """Create the caller of one request.

        `started_at` is the loop time at which the request is due; its times
        are measured from then.
        """
        self.outcome = RequestOutcome(planned=planned)
        self._planned = planned
        self._directory = directory
        self._started_at = started_at
        self._loop = asyncio.get_running_loop()

    async def run(self) -> RequestOutcome:
        """Send the request and return its outcome."""
        timeout_s = self._planned.time_limit_s * _TIME_LIMITS_TO_WAIT
        try:
            async with asyncio.timeout(timeout_s):
                await self._send_with_retries()
        except TimeoutError:
            self._update_outcome(
                fault='no answer in time', total_s=self._elapsed_s()
            )
        return self.outcome

    async def _send_with_retries(self) -> None:
        for _ in range(_MAX_SENDS):
            self._update_outcome(
                send_count=self.outcome.send_count + 1, ran='', fault=''
            )
            if await self._try_entry():
                return
            await asyncio.sleep(_RESEND_DELAY_S)

    async def _try_entry(self) -> bool:
        """Send to one entry; return False if the request may be resent."""
        address = await self._directory.choose_entry(
            self._planned.failure_domain,
            self._loop.time(),
        )
        connected = await ClientConnection.connect(
            address,
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(connected, Failed):
            self._directory.mark_unreachable(
                address, self._loop.time() + _UNREACHABLE_S
            )
            self._update_outcome(fault='connect failed')
            return False
        connection = connected.unwrap()
        try:
            return await self._send_and_receive(connection)
        finally:
            connection.close()

    async def _send_and_receive(self, connection: ClientConnection) -> bool:
        request = ClientRequest(
            method=self._planned.method,
            target=self._planned.path,
            headers=self._planned.build_headers(),
            body=self._planned.encode_body(),
        )
        sent = await connection.send_request(request)
        if isinstance(sent, Failed):
            return self._record_lost_connection('cut while sending')
        head = await connection.receive_head()
        if isinstance(head, Failed):
            return self._record_lost_connection('cut before the answer')
        self._update_outcome(status=head.unwrap().status, fault='')
        if head.unwrap().status >= _FIRST_ERROR_STATUS:
            return await self._receive_refusal(connection, head.unwrap())
        if self._planned.kind is RequestKind.stream:
            await self._receive_stream(connection)
        else:
            self._record_response(await connection.receive_body())
        return True

    def _record_lost_connection(self, fault: str) -> bool:
        """Record a lost connection; return False to resend the request."""
        self._update_outcome(
            fault=fault, ran='unknown', total_s=self._elapsed_s()
        )
        return not self._planned.key

    async def _receive_refusal(
        self,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> bool:
        """Record a refusal; return False if the request may be resent."""
        body = await connection.receive_body()
        document: Any = {}
        if not isinstance(body, Failed):
            document = msgspec.json.decode(body.unwrap() or b'{}')
        self._update_outcome(
            reason=str(document.get('reason', head.status)),
            ran=head.header(RAN_HEADER),
            total_s=self._elapsed_s(),
        )
        return not self._planned.key

    async def _receive_stream(self, connection: ClientConnection) -> None:
        validator = StreamValidator(self._planned.build_document())
        timings = TokenTimings(self._elapsed_s())
        while True:
            chunk = await connection.receive_chunk()
            if isinstance(chunk, Failed) or not chunk.unwrap():
                break
            if validator.feed(chunk.unwrap()):
                timings.record_arrival(self._elapsed_s())
        broken = (
            '' if validator.has_ended else validator.error or 'stream was cut'
        )
        self._update_outcome(
            token_count=validator.token_count,
            is_complete=validator.is_complete,
            fault=validator.fault or broken,
            first_token_s=timings.first_token_s,
            worst_gap_s=timings.worst_gap_s,
            gap_p95_s=timings.gap_p95_s(),
            total_s=self._elapsed_s(),
        )

    def _record_response(self, body: Result[bytes, Failure]) -> None:
        if isinstance(body, Failed):
            self._update_outcome(
                fault='answer was cut', total_s=self._elapsed_s()
            )
            return
        is_expected = self._is_expected_response(body.unwrap())
        self._update_outcome(
            is_complete=is_expected,
            fault='' if is_expected else 'not the answer to this request',
            total_s=self._elapsed_s(),
        )

    def _is_expected_response(self, body: bytes) -> bool:
        """Return whether a body is the stand-in's response to the request."""
        document: Any = msgspec.json.decode(body)
        if not self._planned.is_generation:
            digest = hashlib.sha256(self._planned.encode_body()).hexdigest()
            path = self._planned.path.removeprefix(
                f'/services/{self._planned.target}',
            )
            found = (document['body_digest'], document['path'])
            return bool(found == (digest, path))
        expected = Generation(self._planned.build_document(), 0, 0)
        text = ''.join(
            expected.token_at(at) for at in range(expected.token_limit)
        )
        return bool(document['choices'][0]['message']['content'] == text)

    def _elapsed_s(self) -> float:
        return self._loop.time() - self._started_at

    def _update_outcome(self, **changes: Any) -> None:
        self.outcome = msgspec.structs.replace(self.outcome, **changes)
