"""An upstream that writes scripted bytes, for responses of any framing."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from persimmonhold.platform._names import REQUEST_ID, SIGNATURE

_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
EVENT_STREAM: Final = 'text/event-stream'
PLAIN: Final = 'application/json'
FRAMINGS: Final = ('length', 'chunks', 'connection')


class RawConnection:
    """One request that a raw upstream received, and its response."""

    def __init__(self, head: str, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        fields = [line.partition(':') for line in head.split('\r\n')[1:]]
        self.headers = {name.lower(): text.strip() for name, _, text in fields}

    async def write(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()

    async def write_head(
        self, content_type: str, framing: str, body_size: int = 0
    ) -> None:
        """Write the head of a signed success with one of the framings."""
        fields = {
            'content-type': content_type,
            REQUEST_ID: self.headers[REQUEST_ID],
            SIGNATURE: 's1',
        }
        if framing == 'length':
            fields['content-length'] = str(body_size)
        elif framing == 'chunks':
            fields['transfer-encoding'] = 'chunked'
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        await self.write(head.encode('ascii'))

    async def write_body(self, body: bytes, framing: str) -> None:
        """Write a part of the body."""
        if framing == 'chunks' and body:
            body = b'%x\r\n%b\r\n' % (len(body), body)
        await self.write(body)

    async def respond(
        self, content_type: str, framing: str, body: bytes
    ) -> None:
        """Write a response that is whole as far as its framing tells."""
        await self.write_head(content_type, framing, len(body))
        await self.write_body(body, framing)
        if framing == 'chunks':
            await self.write(b'0\r\n\r\n')

    def reset(self) -> None:
        """Reset the connection instead of closing it."""
        connection = self.writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


RawScript: TypeAlias = Callable[[RawConnection], Awaitable[None]]


class RawUpstream:
    """Accepts connections and runs a script for the request of each."""

    def __init__(self, name: str, script: RawScript) -> None:
        self.name = name
        self.script = script
        self.address = ''
        self.requests: list[dict[str, str]] = []

    async def start(self) -> asyncio.Server:
        """Listen on loopback."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('ascii')
        connection = RawConnection(head, writer)
        await reader.readexactly(
            int(connection.headers.get('content-length', 0))
        )
        self.requests.append(connection.headers)
        try:
            await self.script(connection)
        finally:
            writer.close()
