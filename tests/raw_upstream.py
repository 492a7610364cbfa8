"""An upstream that writes scripted bytes, for responses of any framing."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from persimmonhold.platform._names import NOT_RUN, REQUEST_ID, SIGNATURE

_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
EVENT_STREAM: Final = 'text/event-stream'
PLAIN: Final = 'application/json'
FRAMINGS: Final = ('length', 'chunks', 'connection')


class RawConnection:
    """One request that a raw upstream received, and its response."""

    def __init__(
        self, head: str, writer: asyncio.StreamWriter, number: int = 0
    ) -> None:
        self.writer = writer
        self.number = number  # of the connection, from 1 at each upstream
        self.target = head.split(' ')[1]
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

    async def refuse(
        self,
        status: int = 503,
        request_id: str | None = None,
        framing: str = 'length',
    ) -> None:
        """Write that the request was not run; it names no request for ''."""
        named = self.headers[REQUEST_ID] if request_id is None else request_id
        fields = {NOT_RUN: '1'}
        if framing == 'chunks':
            fields['transfer-encoding'] = 'chunked'
        else:
            fields['content-length'] = '0'
        if named:
            fields[REQUEST_ID] = named
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join((f'HTTP/1.1 {status} Refused', *lines, '', ''))
        end = '0\r\n\r\n' if framing == 'chunks' else ''
        await self.write(f'{head}{end}'.encode('ascii'))

    def reset(self) -> None:
        """Reset the connection instead of closing it."""
        connection = self.writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


RawScript: TypeAlias = Callable[[RawConnection], Awaitable[None]]


class RawUpstream:
    """Accepts connections and runs a script for the request of each.

    If it `keeps_connections`, the script runs for each request on them.
    """

    def __init__(
        self, name: str, script: RawScript, *, keeps_connections: bool = False
    ) -> None:
        self.name = name
        self.script = script
        self.keeps_connections = keeps_connections
        self.connection_count = 0
        self.address = ''
        self.requests: list[dict[str, str]] = []

    async def start(self, host: str = '127.0.0.1') -> asyncio.Server:
        """Listen on loopback."""
        server = await asyncio.start_server(self._serve, host, 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        number = self.connection_count
        try:
            is_kept = True
            while is_kept:
                is_kept = await self._serve_request(reader, writer, number)
        except (asyncio.IncompleteReadError, ConnectionError):
            """The entry closed the connection."""
        finally:
            writer.close()

    async def _serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> bool:
        """Run the script for a request; return whether to read another."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode('ascii')
        connection = RawConnection(head, writer, number)
        await reader.readexactly(
            int(connection.headers.get('content-length', 0))
        )
        self.requests.append(connection.headers)
        await self.script(connection)
        return self.keeps_connections
