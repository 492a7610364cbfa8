"""A caller that sends requests one after another."""

import asyncio
import random
from typing import Final, final

from returns.result import Failure as Failed

from bench.soak._call import Call, CallEnd
from bench.soak._draw_call import draw_call
from bench.soak._record import Record
from bench.soak._upstream import build_body
from persimmonhold.platform import _names as names
from persimmonhold.web import ClientConnection, ResponseHead, parse_address

_CONNECT_TIMEOUT_S: Final = 1.0
_PAUSE_S: Final = 0.1
_MAX_THINK_S: Final = 0.2
_MAX_REQUESTS: Final = 60  # on one connection
_LATE_S: Final = 2.0


@final
class Caller:
    """Keeps a connection until the entry closes it or asks to close it.

    Connects to a random one of `vms`, names of entries by their address, also
    while that stops. `is_over` ends the caller after its request in progress.
    """

    def __init__(self, name: str, vms: dict[str, str], record: Record) -> None:
        self.name = name
        self.vms = vms
        self.record = record
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
                if not await self._send(address, connection):
                    return
                await asyncio.sleep(self.rng.uniform(0, _MAX_THINK_S))
        finally:
            connection.close()

    async def _send(self, address: str, connection: ClientConnection) -> bool:
        """Send a request; return whether the connection may be used again."""
        self.call_count += 1
        call = draw_call(self.rng, f'{self.name}-{self.call_count}')
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
    body = await connection.receive_body()
    if isinstance(body, Failed):
        call.end = CallEnd.cut
        return None
    call.end = CallEnd.answered
    if call.is_signed:
        call.problem = _find_problem(call, head, body.unwrap())
    return head


def _find_problem(call: Call, head: ResponseHead, body: bytes) -> str:
    """Return what is wrong with the response of an upstream, or ''."""
    for name in (names.REQUEST_ID, names.SIGNATURE):
        if head.header(name) != call.request_id:
            return f'{name} is {head.header(name)}'
    expected = build_body(call.request_id, call.event_count)
    if body == expected:
        return ''
    return f'body of {len(body)} bytes, expected {len(expected)}'
