"""One attempt at one upstream."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.attempts import (
    AttemptActions,
    AttemptFault,
    Connect,
    RequestPhase,
    RequestStateMachine,
    UpstreamResponseHead,
)
from persimmonhold.catalogue import ServiceClass
from persimmonhold.entry._caller_answer import CallerAnswer
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._request_job import RequestJob
from persimmonhold.failures import Failure
from persimmonhold.web import (
    PRIORITY,
    RAN,
    REQUEST_ID,
    RESUME_OFFSET,
    Address,
    BodySink,
    ClientConnection,
    ClientRequest,
    ResponseHead,
    StallDetector,
    encode_headers,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 2.0
_STALL_S: Final = 5.0
_BATCH_STALL_S: Final = 60.0
_Perform: TypeAlias = Callable[[AttemptActions], None]


@final
class AttemptRunner(BodySink):
    """Sends the request and hands the answer to the life of the request."""

    def __init__(
        self,
        services: EntryServices,
        job: RequestJob,
        life: RequestStateMachine,
        caller: CallerAnswer,
        order: Connect,
        priority: int,
        perform: _Perform,
    ) -> None:
        """Create an attempt that was ordered."""
        self.number = order.attempt
        self.head = ResponseHead(status=0, headers=())
        self.first_byte_at = 0.0
        self.longest_gap_s = 0.0
        self._last_byte_at = 0.0
        self._services = services
        self._job = job
        self._life = life
        self._caller = caller
        self._order = order
        self._priority = priority
        self._perform = perform
        self._fault = AttemptFault.connection_lost
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Perform the attempt to its end."""
        address = parse_address(self._order.address)
        if isinstance(address, Failed):
            self._fail(AttemptFault.connect_failed, wrote=False)
            return
        connection = self._reused(address.unwrap())
        if connection is not None and await self._exchange(connection):
            return
        opened = await ClientConnection.connect(
            address.unwrap(),
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(opened, Failed):
            self._fail(AttemptFault.connect_failed, wrote=False)
        else:
            await self._exchange(opened.unwrap())

    def cancel(self, fault: AttemptFault | None) -> None:
        """Close the connection; what it still brings reaches nobody."""
        if fault is not None:
            self._fault = fault
        if self._connection is not None:
            self._connection.fail('cancelled')

    def write_chunk(self, chunk: bytes) -> bool:
        """Forward what one read brought."""
        connection = self._connection
        if connection is None:
            return False
        self._measure(connection.last_read_at)
        if self._life.phase is RequestPhase.holding:
            self._perform(self._life.buffer_chunk(self.number, chunk))
            return True
        forwarded = self._life.relay(self.number, chunk)
        if self._life.response.event_framer.has_failed:
            self._stop(AttemptFault.upstream_error)
        if not forwarded:
            return True
        return self._caller.exchange.write(forwarded)

    def _reused(self, address: Address) -> ClientConnection | None:
        """Return a used connection if the request may be repeated."""
        if not self._job.plan.is_idempotent:
            return None
        return self._services.pool.acquire(address, _now())

    async def _exchange(self, connection: ClientConnection) -> bool:
        """Tell whether the attempt is over; a stale connection is not."""
        is_fresh = connection.bytes_written == 0
        self._connection = connection
        self._caller.exchange.on_writable = connection.resume_reading
        try:
            with StallDetector(connection, self._stall_s(), self._stalled):
                return await self._converse(connection, is_fresh)
        finally:
            self._connection = None
            self._services.pool.release(connection, _now())

    async def _converse(
        self,
        connection: ClientConnection,
        is_fresh: bool,
    ) -> bool:
        self._life.request_sent(self.number)
        if self._life.phase is not RequestPhase.sent:
            return True
        written = connection.bytes_written
        sent = await connection.send(self._request())
        head = await connection.receive_head()
        if isinstance(sent, Failed) or isinstance(head, Failed):
            wrote = connection.bytes_written > written
            if not is_fresh and self._fault is AttemptFault.connection_lost:
                return self._life.phase is not RequestPhase.sent
            self._fail(self._fault, wrote=wrote)
            return True
        self.head = head.unwrap()
        self._perform(
            self._life.head_received(self.number, _answer_head(self.head)),
        )
        if self._is_current:
            self._end(await connection.stream_body(self))
        return True

    @property
    def _is_current(self) -> bool:
        answering = self._life.phase in {
            RequestPhase.holding,
            RequestPhase.streaming,
        }
        return answering and self._life.attempt == self.number

    def _end(self, pumped: Result[None, Failure]) -> None:
        if isinstance(pumped, Failed):
            self._fail(self._fault, wrote=True)
        else:
            self._perform(self._life.body_ended(self.number))

    def _fail(self, fault: AttemptFault, *, wrote: bool) -> None:
        self._perform(
            self._life.attempt_failed(self.number, fault, has_sent_bytes=wrote),
        )

    def _stalled(self) -> None:
        self._stop(AttemptFault.stalled)

    def _stop(self, fault: AttemptFault) -> None:
        self._fault = fault
        if self._connection is not None:
            self._connection.fail(fault.value)

    def _stall_s(self) -> float:
        if not self._job.plan.is_idempotent:
            return 0
        if self._job.ticket.service_class is ServiceClass.batch:
            return _BATCH_STALL_S
        return _STALL_S

    def _request(self) -> ClientRequest:
        own = {REQUEST_ID: self._job.ticket.request_id}
        if self._job.plan.is_generation:
            own[PRIORITY] = str(self._priority)
        if self._order.resume_offset:
            own[RESUME_OFFSET] = str(self._order.resume_offset)
        return ClientRequest(
            method=self._job.method,
            target=self._job.target,
            headers=(*self._job.headers, *encode_headers(own)),
            body=self._job.body,
        )

    def _measure(self, read_at: float) -> None:
        if not self.first_byte_at:
            self.first_byte_at = read_at
            self._services.hub.first_token(self._job.ticket.request_id)
        elif read_at - self._last_byte_at > self.longest_gap_s:
            self.longest_gap_s = read_at - self._last_byte_at
        self._last_byte_at = read_at


def _answer_head(head: ResponseHead) -> UpstreamResponseHead:
    length = head.header('content-length')
    return UpstreamResponseHead(
        status=head.status,
        media_type=head.header('content-type'),
        is_not_run=head.header(RAN) == 'no',
        content_length=int(length) if length.isdecimal() else None,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
