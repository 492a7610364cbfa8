"""An entry that reaches no upstream, with scripted other entries."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from persimmonhold.messages import VmRecord
from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import RouteKind
from persimmonhold.web import (
    RAN_HEADER,
    REFUSAL_REASON_HEADER,
    REQUEST_ID_HEADER,
    FetchedResponse,
    parse_address,
)
from tests.forwarding_harness import (
    ForwardingHarness,
    Script,
    run_with_harness,
)
from tests.raw_upstream import RawConnection, RawScript, RawUpstream

BODY: Final = b'{"answer": 1}'
SERVICE: Final = 'models'
_POLL_S: Final = 0.02
# Not that of the callers, who would be taken for entries.
_HOST: Final = '127.0.0.2'


def lose_upstreams(entry: ForwardingHarness, service: str = SERVICE) -> None:
    """Have an entry take a service for out of reach, without probes."""
    monitor = entry.services.reach.monitor
    monitor.begin_probing(service)
    monitor.record_lost(service, entry.hub.clock())


def regain_upstreams(entry: ForwardingHarness, service: str = SERVICE) -> None:
    """Have an entry take a service for in reach."""
    entry.services.reach.monitor.end_probing(service)


def set_vms(entry: ForwardingHarness, *vms: VmRecord) -> None:
    """Tell an entry of the other entries."""
    entry.control.view = msgspec.structs.replace(entry.control.view, vms=vms)


def make_vm(
    name: str, address: str, domain: str = 'd1', weight: float = 1
) -> VmRecord:
    """Return the record of an entry that callers reach at an address."""
    return VmRecord(
        name=name, failure_domain=domain, callers=address, weight=weight
    )


async def refuse(
    connection: RawConnection,
    status: int = 503,
    **headers: str,
) -> None:
    """Write a refusal with the proof of an entry; `headers` replace some."""
    fields = {
        REQUEST_ID_HEADER: connection.headers[REQUEST_ID],
        RAN_HEADER: 'no',
        REFUSAL_REASON_HEADER: 'no_capacity',
        'content-length': '2',
    }
    fields |= {name.replace('_', '-'): text for name, text in headers.items()}
    lines = [f'{name}: {text}' for name, text in fields.items() if text]
    head = '\r\n'.join((f'HTTP/1.1 {status} Refused', *lines, '', '{}'))
    await connection.write(head.encode('latin-1'))


class CutEntry:
    """Owns an entry that reaches no upstream, and scripted other entries."""

    def __init__(self, harness: ForwardingHarness) -> None:
        self.harness = harness
        self.others: list[RawUpstream] = []
        harness.services.relay_peers.rng = random.Random(1)
        lose_upstreams(harness)

    async def start_others(
        self, *scripts: RawScript, keeps_connections: bool = True
    ) -> None:
        """Start other entries, which the entry then knows."""
        for script in scripts:
            other = RawUpstream(
                f'other{len(self.others)}',
                script,
                keeps_connections=keeps_connections,
            )
            server = await other.start(_HOST)
            await self.harness.stack.enter_async_context(server)
            self.others.append(other)
        self.set_view()

    def set_view(self) -> None:
        """Tell the entry of the others."""
        set_vms(
            self.harness,
            *(make_vm(other.name, other.address) for other in self.others),
        )

    def set_route(
        self, kind: RouteKind, attempts: int = 1, resumable: bool = False
    ) -> None:
        """Replace the routes of the entry by one route."""
        self.harness.set_route(kind, attempts, resumable)
        if self.others:
            self.set_view()

    async def send(
        self,
        name: str = '',
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
    ) -> FetchedResponse | None:
        """Send a request; return the response, None if it broke off."""
        named = {'attempt-id': name} if name else {}
        answered = await self.harness.send_request(
            headers={**named, **(headers or {})}, deadline_ms=deadline_ms
        )
        return answered.value_or(None)

    async def open_request(
        self, name: str = 'r1', deadline_ms: int = 3000
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request over a connection of its own, and read nothing."""
        address = parse_address(str(self.harness.server.address)).unwrap()
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            b'POST /chat/x HTTP/1.1\r\nHost: a.example\r\n'
            b'Content-Length: 0\r\nAttempt-Id: %b\r\n'
            b'Deadline-Ms: %d\r\n\r\n' % (name.encode('ascii'), deadline_ms)
        )
        return reader, writer

    async def start_served_other(self, script: Script) -> None:
        """Start an entry that cancels the script if the relay ends."""
        other = await self.harness.start_upstream(script)
        set_vms(self.harness, make_vm(other.name, other.address))

    @property
    def relayed_counts(self) -> list[int]:
        """How many requests each other entry has received."""
        return [len(other.requests) for other in self.others]


def run_cut(scenario: Callable[[CutEntry], Awaitable[None]]) -> None:
    """Run a scenario with an entry that reaches no upstream."""

    async def run_scenario(harness: ForwardingHarness) -> None:
        await scenario(CutEntry(harness))

    run_with_harness(run_scenario)


async def wait_until(
    is_reached: Callable[[], bool], timeout_s: float = 5.0
) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while True:
            if is_reached():
                return
            await asyncio.sleep(_POLL_S)
