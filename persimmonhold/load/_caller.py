"""Sends one planned request as a caller does."""

import asyncio
import hashlib
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.failures import Failure
from persimmonhold.load._entry_directory import EntryDirectory
from persimmonhold.load._gap_clock import GapClock
from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._stream_validator import StreamValidator
from persimmonhold.standin import Generation
from persimmonhold.web import (
    RAN,
    ClientConnection,
    ClientRequest,
    ResponseHead,
)

_CONNECT_TIMEOUT_S: Final = 2.0
_SUSPICION_S: Final = 3.0
_MAX_SENDS: Final = 4
_RESEND_DELAY_S: Final = 0.5
_FIRST_ERROR_STATUS: Final = 400
_CHARGED_DEADLINES: Final = 2


@final
class Caller:
    """Sends a request until it is answered or refused for good.

    A connection that was refused, and a call under a key whose outcome is
    open, are sent again to another entry; nothing else is.
    """

    __slots__ = ('_directory', '_loop', '_planned', '_started_at', 'outcome')

    def __init__(
        self,
        planned: PlannedRequest,
        directory: EntryDirectory,
        started_at: float,
    ) -> None:
        """Create the caller of one request, due at `started_at`."""
        self.outcome = RequestOutcome(planned=planned)
        self._planned = planned
        self._directory = directory
        self._started_at = started_at
        self._loop = asyncio.get_running_loop()

    async def run(self) -> RequestOutcome:
        """Send, and return what became of it."""
        patience_s = self._planned.deadline_s * _CHARGED_DEADLINES
        try:
            async with asyncio.timeout(patience_s):
                await self._send_until_settled()
        except TimeoutError:
            self._note(fault='no answer in time', total_s=self._elapsed())
        return self.outcome

    async def _send_until_settled(self) -> None:
        for _ in range(_MAX_SENDS):
            self._note(send_count=self.outcome.send_count + 1, ran='', fault='')
            if await self._send_once():
                return
            await asyncio.sleep(_RESEND_DELAY_S)

    async def _send_once(self) -> bool:
        """Send to one entry; tell whether the request is settled."""
        address = await self._directory.choose(
            self._planned.failure_domain,
            self._loop.time(),
        )
        connected = await ClientConnection.connect(
            address,
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(connected, Failed):
            self._directory.mark_unreachable(
                address, self._loop.time() + _SUSPICION_S
            )
            self._note(fault='connect failed')
            return False
        connection = connected.unwrap()
        try:
            return await self._exchange(connection)
        finally:
            connection.close()

    async def _exchange(self, connection: ClientConnection) -> bool:
        request = ClientRequest(
            method=self._planned.method,
            target=self._planned.path,
            headers=self._planned.headers(),
            body=self._planned.body(),
        )
        sent = await connection.send(request)
        if isinstance(sent, Failed):
            return self._break('cut while sending')
        head = await connection.receive_head()
        if isinstance(head, Failed):
            return self._break('cut before the answer')
        self._note(status=head.unwrap().status, fault='')
        if head.unwrap().status >= _FIRST_ERROR_STATUS:
            return await self._take_refusal(connection, head.unwrap())
        if self._planned.kind is RequestKind.stream:
            await self._take_stream(connection)
        else:
            self._take_answer(await connection.receive_body())
        return True

    def _break(self, fault: str) -> bool:
        """Note a broken connection; a keyed call may be sent again."""
        self._note(fault=fault, ran='unknown', total_s=self._elapsed())
        return not self._planned.key

    async def _take_refusal(
        self,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> bool:
        body = await connection.receive_body()
        document: Any = {}
        if not isinstance(body, Failed):
            document = msgspec.json.decode(body.unwrap() or b'{}')
        self._note(
            reason=str(document.get('reason', head.status)),
            ran=head.header(RAN),
            total_s=self._elapsed(),
        )
        return not self._planned.key

    async def _take_stream(self, connection: ClientConnection) -> None:
        check = StreamValidator(self._planned.document())
        gaps = GapClock(self._elapsed())
        while True:
            chunk = await connection.receive_chunk()
            if isinstance(chunk, Failed) or not chunk.unwrap():
                break
            if check.feed(chunk.unwrap()):
                gaps.note(self._elapsed())
        broken = '' if check.has_ended else check.error or 'stream was cut'
        self._note(
            tokens=check.tokens,
            is_complete=check.is_complete,
            fault=check.fault or broken,
            first_token_s=gaps.first_s,
            worst_gap_s=gaps.worst_gap_s,
            gap_p95_s=gaps.high_percentile_s(),
            total_s=self._elapsed(),
        )

    def _take_answer(self, body: Result[bytes, Failure]) -> None:
        if isinstance(body, Failed):
            self._note(fault='answer was cut', total_s=self._elapsed())
            return
        is_whole = self._is_own_answer(body.unwrap())
        self._note(
            is_complete=is_whole,
            fault='' if is_whole else 'not the answer to this request',
            total_s=self._elapsed(),
        )

    def _is_own_answer(self, body: bytes) -> bool:
        document: Any = msgspec.json.decode(body)
        if not self._planned.is_generation:
            digest = hashlib.sha256(self._planned.body()).hexdigest()
            path = self._planned.path.removeprefix(
                f'/services/{self._planned.target}',
            )
            found = (document['body_digest'], document['path'])
            return bool(found == (digest, path))
        expected = Generation(self._planned.document(), 0, 0)
        text = ''.join(
            expected.token_at(at) for at in range(expected.token_limit)
        )
        return bool(document['choices'][0]['message']['content'] == text)

    def _elapsed(self) -> float:
        return self._loop.time() - self._started_at

    def _note(self, **changes: Any) -> None:
        self.outcome = msgspec.structs.replace(self.outcome, **changes)
