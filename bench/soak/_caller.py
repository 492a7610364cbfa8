"""A caller that sends requests one after another."""

import asyncio
import random
from typing import Final, final

import msgspec
from returns.result import Failure as Failed

from bench.soak._call import Call, CallEnd
from bench.soak._draw_call import draw_call
from bench.soak._record import Record
from bench.soak._shape import Shape
from bench.soak._stream import Stream
from bench.soak._upstream import build_body
from persimmonhold.platform import _names as names
from persimmonhold.web import (
    ClientConnection,
    ResponseHead,
    encode_headers,
    parse_address,
)

_CONNECT_TIMEOUT_S: Final = 1.0
_PAUSE_S: Final = 0.1
_MAX_REQUESTS: Final = 60  # on one connection
_LATE_S: Final = 2.0
_MAX_TRIES: Final = 4  # to take a stream up
_FIRST_WAIT_S: Final = 0.4  # before a try; each further one is twice as long


@final
class Caller:
    """Keeps a connection until the entry closes it or asks to close it.

    Connects to a random one of `vms`, names of entries by their address, also
    while that stops. `is_over` ends the caller after its request in progress.
    A caller that `takes_up` streams goes on with those that broke off.
    """

    def __init__(
        self,
        name: str,
        vms: dict[str, str],
        record: Record,
        *,
        shape: Shape,
        takes_up: bool = False,
    ) -> None:
        self.name = name
        self.shape = shape
        self.vms = vms
        self.record = record
        self.takes_up = takes_up
        self.rng = random.Random(name)
        self.is_over = False
        self.call_count = 0

    async def run(self) -> None:
        """Send requests until the caller is over."""
        while not self.is_over:
            address = self.rng.choice(list(self.vms))
            connected = await ClientConnection.connect(
                parse_address(address).unwrap(), _CONNECT_TIMEOUT_S
            )
            if not isinstance(connected, Failed):
                await self._use(address, connected.unwrap())
            await asyncio.sleep(_PAUSE_S)

    async def _use(self, address: str, connection: ClientConnection) -> None:
        try:
            for _ in range(self.rng.randint(1, _MAX_REQUESTS)):
                if self.is_over or not connection.is_reusable:
                    return
                self.call_count += 1
                request_id = f'{self.name}-{self.call_count}'
                call = draw_call(self.rng, request_id, self.shape)
                is_open = await self._send(address, connection, call)
                if self.takes_up and call.is_repeatable and call.event_count:
                    await self._take_up(call)
                if not is_open:
                    return
                await asyncio.sleep(self.rng.uniform(0, self.shape.think_s))
        finally:
            connection.close()

    async def _take_up(self, call: Call) -> None:
        """Go on with a stream that broke off, at any entry."""
        stream = Stream(call.request_id, call.event_count)
        stream.add_events(call.request_id, call.received)
        if call.end is not CallEnd.cut or not stream.last_id:
            return
        self.record.streams.append(stream)
        for number in range(_MAX_TRIES):
            await asyncio.sleep(_FIRST_WAIT_S * 2**number)
            if stream.is_whole or self.is_over:
                return
            again = _continue_call(call, stream, number)
            address = random.choice(list(self.vms))
            connected = await ClientConnection.connect(
                parse_address(address).unwrap(), _CONNECT_TIMEOUT_S
            )
            if isinstance(connected, Failed):
                continue
            await self._send(address, connected.unwrap(), again)
            connected.unwrap().close()
            stream.add_events(again.request_id, again.received)

    async def _send(
        self, address: str, connection: ClientConnection, call: Call
    ) -> bool:
        """Send a request; return whether the connection may be used again."""
        loop = asyncio.get_running_loop()
        call.begun_at = loop.time()
        sent = await connection.send_request(call.request)
        if isinstance(sent, Failed):
            return False
        call.vm = self.vms[address]
        call.sent_at = loop.time()
        self.record.calls.append(call)
        head: ResponseHead | None = None
        try:
            async with asyncio.timeout(
                call.patience_s or call.deadline_s + _LATE_S
            ):
                head = await _receive(connection, call)
        except TimeoutError:
            has_left = call.patience_s
            call.end = CallEnd.abandoned if has_left else CallEnd.timed_out
        call.ended_at = loop.time()
        return head is not None and head.header('connection') != 'close'


def _continue_call(call: Call, stream: Stream, number: int) -> Call:
    """Return the call that goes on after the last event of a stream."""
    request_id = f'{call.request_id}-again-{number}'
    own = {
        names.REQUEST_ID: request_id,
        names.RESUME_AFTER: str(stream.last_id),
        names.RESUMED_REQUEST: stream.begun_as,
    }
    kept = tuple(
        one
        for one in call.request.headers
        if one[0].decode('ascii').lower() not in own
    )
    headers = (*kept, *encode_headers(own))
    return Call(
        request_id=request_id,
        request=msgspec.structs.replace(call.request, headers=headers),
        deadline_s=call.deadline_s,
        is_repeatable=True,
        event_count=call.event_count,
        after=stream.last_id,
    )


async def _receive(
    connection: ClientConnection, call: Call
) -> ResponseHead | None:
    """Receive and check the response; return its head if it is complete."""
    received = await connection.receive_head()
    if isinstance(received, Failed):
        call.end = CallEnd.cut
        return None
    head = received.unwrap()
    call.status = head.status
    call.is_signed = bool(head.header(names.SIGNATURE))
    chunk = await connection.receive_chunk()
    while not isinstance(chunk, Failed) and chunk.unwrap():
        call.received += chunk.unwrap()
        chunk = await connection.receive_chunk()
    is_cut = isinstance(chunk, Failed)
    call.end = CallEnd.cut if is_cut else CallEnd.answered
    if call.is_signed:
        call.problem = find_problem(call, head)
    return None if is_cut else head


def find_problem(call: Call, head: ResponseHead) -> str:
    """Return what is wrong with the response of an upstream, or ''."""
    for name in (names.REQUEST_ID, names.SIGNATURE):
        if head.header(name) != call.request_id:
            return f'{name} is {head.header(name)}'
    is_whole = call.end is CallEnd.answered
    if call.event_count:
        stream = Stream(call.request_id, call.event_count, call.after)
        problem = stream.add_events(call.request_id, call.received)
        if not problem and is_whole and not stream.is_whole:
            return f'{stream.last_id} of {call.event_count} events'
        return problem
    if is_whole and call.received != build_body(call.request_id):
        return f'body of {len(call.received)} bytes'
    return ''
