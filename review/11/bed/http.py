"""A small HTTP/1.1 client and server for stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeAlias

_MAX_HEAD_BYTES: Final = 65_536
_CONNECT_S: Final = 1.0


@dataclass(slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = True

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first_line.split()[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.first_line.split()[1]

    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


Serve: TypeAlias = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, until_end: bool = False
) -> None:
    """Read the body of a message; `is_complete` tells whether it was whole."""
    parts = []
    try:
        if message.headers.get('transfer-encoding', '') == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
        elif 'content-length' in message.headers:
            length = int(message.headers['content-length'])
            parts.append(await reader.readexactly(length))
        elif until_end:
            parts.append(await reader.read())
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        parts.append(getattr(error, 'partial', b''))
        message.is_complete = False
    message.body = b''.join(parts)


def encode(
    first_line: str, headers: dict[str, str], body: bytes | None = b''
) -> bytes:
    """Encode a message; without a body, no length is stated."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers.items())]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + (body or b'')


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> None:
    """Write a whole response."""
    writer.write(encode(f'HTTP/1.1 {status} X', headers or {}, body))


class Server:
    """Serves each request of each connection; owns its socket."""

    def __init__(self, serve: Serve, host: str = '127.0.0.1') -> None:
        """`serve` returns whether the connection is kept."""
        self.serve = serve
        self.host = host
        self.address = ''
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> 'Server':
        await self.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stop()

    async def start(self, port: int = 0) -> None:
        """Listen; port 0 chooses a free one."""
        self.server = await asyncio.start_server(
            self._handle, self.host, port, limit=_MAX_HEAD_BYTES
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        for task in tuple(self.tasks):
            task.cancel()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                if not await self.serve(message, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()


async def fetch(
    address: tuple[str, int],
    request: bytes,
    timeout_s: float,
) -> Message | None:
    """Send a request on a new connection; None without a whole response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(_CONNECT_S):
                reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                return None
            await read_body(reader, message, until_end=True)
            return message if message.is_complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
