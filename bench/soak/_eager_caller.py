"""A caller that sends requests ahead, in pieces, for as long as it may."""

import asyncio
import itertools
import random
from collections import deque
from contextlib import suppress
from typing import Final, final

import h11

from bench.soak._call import Call, CallEnd
from bench.soak._caller import find_problem
from bench.soak._draw_call import draw_call
from bench.soak._record import Record
from bench.soak._shape import Shape
from persimmonhold.platform import _names as names
from persimmonhold.web import ResponseHead, parse_address

_CONNECT_TIMEOUT_S: Final = 1.0
_PAUSE_S: Final = 0.05
_SHORT_THINK_S: Final = 0.02
_MAX_REQUESTS: Final = 30  # on one connection
_MAX_AHEAD: Final = 3  # requests without a response
_AHEAD_SHARE: Final = 0.3
_PIECES_SHARE: Final = 0.3
_MAX_PIECES: Final = 4
_MAX_PIECE_PAUSE_S: Final = 0.8
_LATE_S: Final = 2.0 + _MAX_PIECES * _MAX_PIECE_PAUSE_S
_READ_BYTES: Final = 65_536


@final
class EagerCaller:
    """Uses a connection until the entry closes it or asks to close it.

    Some requests are sent before the response to the last one has arrived, some
    bodies in pieces, with or without a stated length. A call counts once all of
    it was written.
    """

    def __init__(
        self, name: str, vms: dict[str, str], record: Record, shape: Shape
    ) -> None:
        self.name = name
        self.vms = vms
        self.record = record
        self.shape = shape
        self.rng = random.Random(name)
        self.is_over = False
        self.call_count = 0

    async def run(self) -> None:
        """Send requests until the caller is over."""
        while not self.is_over:
            address = self.rng.choice(list(self.vms))
            await self.use_connection(address, _MAX_REQUESTS)
            await asyncio.sleep(_PAUSE_S)

    async def use_connection(
        self, address: str, most: int, wait_s: float = 0
    ) -> None:
        """Connect, wait, and send at most so many requests."""
        peer = parse_address(address).unwrap()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    peer.host, peer.port
                )
        except (OSError, TimeoutError):
            return
        await asyncio.sleep(wait_s)
        used = _Connection(reader, writer, self.vms[address], self.record)
        reading = asyncio.create_task(used.read_responses())
        try:
            await self._send_requests(used, self.rng.randint(1, most))
            await reading
        finally:
            reading.cancel()
            await _close(writer)

    async def _send_requests(self, used: '_Connection', count: int) -> None:
        for _ in range(count):
            most = _MAX_AHEAD if self.rng.random() < _AHEAD_SHARE else 1
            await used.wait_until_fewer(most)
            if self.is_over or used.has_ended:
                break
            self.call_count += 1
            request_id = f'{self.name}-{self.call_count}'
            call = draw_call(self.rng, request_id, self.shape)
            call.patience_s = 0
            try:
                await used.send(call, self._cut_body(call.request.body))
            except OSError:
                break
            most_s = self.rng.choice((_SHORT_THINK_S, self.shape.think_s))
            await asyncio.sleep(self.rng.uniform(0, most_s))
        used.is_finished = True
        used.changed.set()

    def _cut_body(self, body: bytes) -> list[tuple[float, bytes]]:
        """Return the pieces of a body, each with the pause before it."""
        count = 1
        if body and self.rng.random() < _PIECES_SHARE:
            count = self.rng.randint(1, _MAX_PIECES)
        most_s = _MAX_PIECE_PAUSE_S if count > 1 else 0
        places = range(1, len(body))
        cuts = sorted(self.rng.sample(places, count - 1))
        spans = itertools.pairwise((0, *cuts, len(body)))
        return [
            (self.rng.uniform(0, most_s), body[start:end])
            for start, end in spans
        ]


@final
class _Connection:
    """A connection with requests that have no response yet, in order."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        vm: str,
        record: Record,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.vm = vm
        self.record = record
        self.unanswered: deque[Call] = deque()
        self.changed = asyncio.Event()
        self.is_finished = False
        self.has_ended = False
        self.left = b''

    async def wait_until_fewer(self, most: int) -> None:
        """Wait until fewer than so many requests are without a response."""
        while len(self.unanswered) >= most and not self.has_ended:
            self.changed.clear()
            await self.changed.wait()

    async def send(self, call: Call, pieces: list[tuple[float, bytes]]) -> None:
        """Write a request; its body is chunked if it has pieces."""
        call.vm = self.vm
        call.begun_at = _now()
        is_chunked = len(pieces) > 1
        framing = f'content-length: {len(call.request.body)}'
        if is_chunked:
            framing = 'transfer-encoding: chunked'
        lines = [
            f'POST {call.request.target} HTTP/1.1'.encode('ascii'),
            f'host: {call.request.host}'.encode('ascii'),
            framing.encode('ascii'),
            *(b'%b: %b' % header for header in call.request.headers),
        ]
        self.unanswered.append(call)
        self.changed.set()
        self.writer.write(b'\r\n'.join(lines) + b'\r\n\r\n')
        for pause_s, piece in pieces:
            if pause_s:
                await asyncio.sleep(pause_s)
            chunk = b'%x\r\n%b\r\n' % (len(piece), piece)
            self.writer.write(chunk if is_chunked else piece)
        if is_chunked:
            self.writer.write(b'0\r\n\r\n')
        await self.writer.drain()
        if call.end is CallEnd.pending:
            call.sent_at = _now()
            self.record.calls.append(call)

    async def read_responses(self) -> None:
        """Read responses until all have arrived or the connection ends."""
        try:
            while await self._wait_for_request():
                if not await self._read_response(self.unanswered[0]):
                    break
                self.unanswered.popleft()
                self.changed.set()
        finally:
            self.has_ended = True
            self._end_unanswered()

    def _end_unanswered(self) -> None:
        """Record the end of the connection.

        What is sent behind a response that breaks off cannot be answered; it
        stays pending.
        """
        self.changed.set()
        for call in self.unanswered:
            if call.end is CallEnd.pending:
                call.end = CallEnd.cut
                call.ended_at = _now()
            if call.status or call.end is CallEnd.timed_out:
                break

    async def _wait_for_request(self) -> bool:
        while not self.unanswered and not self.is_finished:
            self.changed.clear()
            await self.changed.wait()
        return bool(self.unanswered)

    async def _read_response(self, call: Call) -> bool:
        """Read one response; return whether another one may follow."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(
                method='POST', target='/', headers=[('host', 'soak.example')]
            )
        )
        parser.send(h11.EndOfMessage())
        if self.left:
            parser.receive_data(self.left)
        head = ResponseHead(status=0, headers=())
        # A response may follow those to the requests before it only.
        ends_at = _now() + call.deadline_s + _LATE_S
        event = parser.next_event()
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Response):
                head = _record_head(call, event)
            elif isinstance(event, h11.Data):
                call.received += event.data
            else:
                received = await self._receive(ends_at, call)
                if not received:
                    return False
                parser.receive_data(received)
            event = parser.next_event()
        call.end = CallEnd.answered
        call.ended_at = _now()
        if call.is_signed:
            call.problem = find_problem(call, head)
        self.left = parser.trailing_data[0]
        return head.header('connection') != 'close'

    async def _receive(self, ends_at: float, call: Call) -> bytes:
        """Return what arrives next, or nothing at the end."""
        try:
            async with asyncio.timeout(ends_at - _now()):
                return await self.reader.read(_READ_BYTES)
        except TimeoutError:
            call.end = CallEnd.timed_out
            call.ended_at = _now()
        except OSError:
            return b''
        return b''


def _record_head(call: Call, event: h11.Response) -> ResponseHead:
    head = ResponseHead(status=event.status_code, headers=tuple(event.headers))
    call.status = head.status
    call.is_signed = bool(head.header(names.SIGNATURE))
    return head


async def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()


def _now() -> float:
    return asyncio.get_running_loop().time()
