"""Several entries whose links to shared upstreams a test can cut."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Final, Self

import msgspec

from persimmonhold.fleet import UpstreamFacts
from persimmonhold.messages import VmRecord
from persimmonhold.routes import RouteKind
from tests.fleet_builders import make_update
from tests.forwarding_harness import ForwardingHarness
from tests.raw_upstream import RawScript, RawUpstream

_HOST: Final = '127.0.0.1'
_READ_BYTES: Final = 65_536
# Enough to fill the queue of a listening socket that accepts nothing.
_FILLING_CONNECTIONS: Final = 4
# What a cut does to open connections; new ones hang, or are refused.
HANG: Final = 'hang'
RESET: Final = 'reset'
LIVE_ON: Final = 'live_on'


class UpstreamLink:
    """Carries the connections of one entry to one upstream."""

    def __init__(self, upstream: RawUpstream) -> None:
        self.upstream = upstream
        self.port = 0
        self.connection_count = 0
        self.is_open = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.blockers: list[socket.socket] = []
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where the entry connects to."""
        return f'{_HOST}:{self.port}'

    async def open(self) -> None:
        """Accept connections, at the same port as before."""
        for blocker in self.blockers:
            blocker.close()
        self.blockers.clear()
        self.server = await asyncio.start_server(self._carry, _HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_open.set()

    def cut(self, how: str) -> None:
        """Cut the link; open connections hang, are reset or live on."""
        assert self.server is not None
        self.server.close()
        self.server = None
        if how == HANG:
            self.is_open.clear()
            self._block_port()
        elif how == RESET:
            self.reset()

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        self.reset()
        for blocker in self.blockers:
            blocker.close()

    def _block_port(self) -> None:
        """Have connections to the port hang, as if behind a partition."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((_HOST, self.port))
        listener.listen(0)
        self.blockers.append(listener)
        for _ in range(_FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filling.connect((_HOST, self.port))
            self.blockers.append(filling)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        host, _, port = self.upstream.address.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, far_writer))
                group.create_task(self._copy(far_reader, writer))
        except* OSError:
            """One of the ends has reset the connection."""
        finally:
            self.writers -= ends
            for end in ends:
                end.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while part := await reader.read(_READ_BYTES):
            await self.is_open.wait()
            writer.write(part)
            await writer.drain()
        raise ConnectionResetError


class LinkedEntries:
    """Owns entries that share upstreams, each over links of its own.

    `entries` and `links` have the same order; a link is found by the name of
    its upstream.
    """

    def __init__(self, count: int) -> None:
        self.entries = [
            ForwardingHarness(vm_name=f'vm{number}') for number in range(count)
        ]
        self.links: list[dict[str, UpstreamLink]] = [{} for _ in range(count)]
        self.upstreams: list[RawUpstream] = []
        self.silent: set[str] = set()
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for entry in self.entries:
            await self.stack.enter_async_context(entry)
        self.set_view()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stack.aclose()

    async def start_upstreams(self, *scripts: RawScript) -> None:
        """Start upstreams, each with a link to every entry."""
        for script in scripts:
            upstream = RawUpstream(
                f'r{len(self.upstreams)}', script, keeps_connections=True
            )
            await self.stack.enter_async_context(await upstream.start())
            self.upstreams.append(upstream)
            for links in self.links:
                links[upstream.name] = UpstreamLink(upstream)
                await links[upstream.name].open()
                self.stack.callback(links[upstream.name].close)
        self.set_facts()

    def set_route(
        self, kind: RouteKind, attempts: int = 1, resumable: bool = False
    ) -> None:
        """Replace the routes of all entries by one route."""
        for entry in self.entries:
            entry.set_route(kind, attempts, resumable)
        self.set_view()

    def set_view(self) -> None:
        """Tell each entry of all entries."""
        vms = tuple(
            VmRecord(
                name=f'vm{number}',
                failure_domain='d1',
                callers=str(entry.server.address),
            )
            for number, entry in enumerate(self.entries)
        )
        for entry in self.entries:
            entry.control.view = msgspec.structs.replace(
                entry.control.view, vms=vms
            )

    def set_facts(self) -> None:
        """Send each entry an update with all upstreams."""
        for entry, links in zip(self.entries, self.links, strict=True):
            facts = [
                UpstreamFacts(
                    name=name,
                    service='models',
                    address=link.address,
                    failure_domain='d1',
                    slots=8,
                    born_ms=1,
                    is_silent=name in self.silent,
                )
                for name, link in links.items()
            ]
            sequence = entry.hub.dispatcher.sequence + 1
            entry.hub.apply_update(make_update(*facts, sequence=sequence))

    def cut(self, entry: int, how: str) -> None:
        """Cut an entry off from all upstreams."""
        for link in self.links[entry].values():
            link.cut(how)

    async def heal(self, entry: int) -> None:
        """Connect an entry to all upstreams again."""
        for link in self.links[entry].values():
            await link.open()


def run_linked(
    count: int, scenario: Callable[[LinkedEntries], Awaitable[None]]
) -> None:
    """Run a scenario with so many entries."""

    async def run_scenario() -> None:
        async with LinkedEntries(count) as linked:
            await scenario(linked)

    asyncio.run(run_scenario())
