"""Measures the cost of relaying one read of one token in two ways.

Both relays run alternately in one process on the same bytes, through the real
client and server connections on fake transports, so that neither sockets nor
other processes are measured. `await` wakes a task for each read, as a loop
over `receive_chunk` and `send_body_chunk` does; `pump` calls `stream_body`,
which relays within the read callback.

    python -m bench.entry_relay --seed 1 --output /tmp/relay.json
"""

import argparse
import asyncio
import statistics
import sys
import time
from pathlib import Path
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.attempts import EventFramer
from persimmonhold.web import (
    Address,
    ClientConnection,
    ClientRequest,
    Exchange,
    ExchangeHandler,
    HttpBounds,
    MemoryBudget,
    ResponseBodySink,
)
from persimmonhold.web._server_connection import ServerConnection

_READS: Final = 5000
_US_PER_S: Final = 1_000_000
_EVENT: Final = (
    b'data: {"object":"chat.completion.chunk","model":"tutor",'
    b'"choices":[{"index":0,"finish_reason":null,'
    b'"delta":{"content":" t12.3456"}}]}\n\n'
)
_CHUNK: Final = b'%x\r\n%b\r\n' % (len(_EVENT), _EVENT)
_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)


@final
class _CountingTransport(asyncio.Transport):
    """A fake transport that counts the bytes written."""

    def __init__(self) -> None:
        super().__init__()
        self.written_bytes = 0

    def write(self, data: Any) -> None:
        """Add the length of the data to the count."""
        self.written_bytes += len(data)

    def pause_reading(self) -> None:
        """Ignore; the benchmark feeds data regardless of a pause."""

    def resume_reading(self) -> None:
        """Ignore."""

    def abort(self) -> None:
        """Ignore."""


@final
class _EventSink(ResponseBodySink):
    """Splits the body into events and forwards them within the read."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.framer = EventFramer()

    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Forward the complete events of one read."""
        return self.exchange.write_body_chunk(self.framer.feed(chunk))


@final
class _Relay(ExchangeHandler):
    """Relays one response by `stream_body` or by a loop of awaits."""

    def __init__(
        self, upstream: ClientConnection, uses_stream_body: bool
    ) -> None:
        self.upstream = upstream
        self.uses_stream_body = uses_stream_body

    async def serve(self, exchange: Exchange) -> None:
        """Relay until the upstream connection is closed."""
        await exchange.start_response(200, ())
        if self.uses_stream_body:
            await self.upstream.stream_body(_EventSink(exchange))
            return
        framer = EventFramer()
        while True:
            chunk = await self.upstream.receive_chunk()
            if isinstance(chunk, Failed):
                return
            await exchange.send_body_chunk(framer.feed(chunk.unwrap()))


async def _measure_read_us(uses_stream_body: bool) -> float:
    """Return the processor time of one relayed read in microseconds."""
    upstream = ClientConnection(Address('127.0.0.1', 1))
    upstream.connection_made(_CountingTransport())
    await upstream.send_request(
        ClientRequest(method='POST', target='/', body=b'x')
    )
    upstream.data_received(_HEAD)
    (await upstream.receive_head()).unwrap()
    caller = _CountingTransport()
    server = ServerConnection(
        _Relay(upstream, uses_stream_body),
        HttpBounds(),
        MemoryBudget(1),
        lambda _: None,
    )
    server.connection_made(caller)
    server.data_received(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    bytes_before = caller.written_bytes
    started = time.process_time()
    for _ in range(_READS):
        upstream.data_received(_CHUNK)
        # Runs one iteration of the event loop, as between two socket reads.
        await asyncio.sleep(0)
    used_s = time.process_time() - started
    await asyncio.sleep(0)
    relayed_bytes = caller.written_bytes - bytes_before
    if relayed_bytes < _READS * len(_EVENT):
        raise RuntimeError(
            f'relay incomplete: only {relayed_bytes} bytes written'
        )
    upstream.mark_failed('end')
    server.connection_lost(None)
    await asyncio.sleep(0)
    return used_s / _READS * _US_PER_S


def main() -> None:
    """Run the repeats, print a table, optionally write JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=15)
    parser.add_argument('--output', type=Path)
    options = parser.parse_args()
    figures: dict[str, list[float]] = {'await': [], 'pump': []}
    for _ in range(options.repeats):
        figures['await'].append(
            asyncio.run(_measure_read_us(uses_stream_body=False))
        )
        figures['pump'].append(
            asyncio.run(_measure_read_us(uses_stream_body=True))
        )
    for name, read_us in figures.items():
        sys.stdout.write(
            f'{name:>6} us a read: median {statistics.median(read_us):7.2f}'
            f'  from {min(read_us):7.2f} to {max(read_us):7.2f}\n',
        )
    if options.output:
        document = {'seed': options.seed, 'read_us': figures}
        options.output.write_bytes(msgspec.json.encode(document))


if __name__ == '__main__':
    main()
