"""Stand-ins of the platform's list and of the operator."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any, Final

from bed.deployment import Deployment
from bed.http import Message, Server, encode, fetch, read_body, respond

_ANSWER_S: Final = 1.0  # an operator waits so long, and more for large bodies
_LARGE_ANSWER_S: Final = 5.0
_LARGE_BYTES: Final = 100_000
_PAUSE_S: Final = 0.1
_MAX_PAUSE_S: Final = 1.0
_REDIRECTS: Final = 2


class InstanceList:
    """The list of workers; `list_workers` returns the entries of the wire."""

    def __init__(self) -> None:
        self.list_workers: Callable[[], list[Any]] = list
        self.server = Server(self._serve)

    async def __aenter__(self) -> 'InstanceList':
        await self.server.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.server.stop()

    @property
    def address(self) -> str:
        """Where the list is served."""
        return self.server.address

    async def _serve(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await read_body(reader, message)
        document = {'instances': self.list_workers(), 'next-token': None}
        headers = {'Content-Type': 'application/json'}
        respond(writer, 200, headers, json.dumps(document).encode())
        return True


class Operator:
    """Sends configurations and reads them back, as the pages say.

    `acknowledged` is the newest version with a 200.
    """

    def __init__(
        self, deployment: Deployment, note: Callable[[str], None]
    ) -> None:
        self.deployment = deployment
        self.note = note
        self.acknowledged = 0

    async def put(self, document: dict[str, Any], within_s: float) -> bool:
        """Send a configuration until it is acknowledged; tell whether it was."""
        body = json.dumps(document, separators=(',', ':')).encode()
        status = await self._repeat('PUT', body, within_s)
        if status is not None and status.status == 200:
            version = document['version']
            self.acknowledged = max(self.acknowledged, version)
            return True
        return False

    async def get(self, within_s: float) -> dict[str, Any] | None:
        """Read the configuration back; None if no machine tells it."""
        answer = await self._repeat('GET', b'', within_s)
        return None if answer is None else answer.json()

    async def _repeat(
        self, method: str, body: bytes, within_s: float
    ) -> Message | None:
        """Call any machine of the core until one answers with 200 or 4xx."""
        ends_at = time.monotonic() + within_s
        pause_s = _PAUSE_S
        while time.monotonic() < ends_at:
            machine = random.choice(self.deployment.core)
            address = self.deployment.control(machine)
            answer = await self._call(address, method, body)
            if answer is not None and (
                answer.status == 200
                or answer.status in {400, 409, 412, 413, 422}
            ):
                return answer
            await asyncio.sleep(pause_s)
            pause_s = min(_MAX_PAUSE_S, 1.5 * pause_s)
        return None

    async def _call(
        self, address: tuple[str, int], method: str, body: bytes
    ) -> Message | None:
        """Call one machine; follow a redirect twice."""
        timeout_s = _LARGE_ANSWER_S if len(body) > _LARGE_BYTES else _ANSWER_S
        answer = None
        for _ in range(_REDIRECTS + 1):
            request = encode(
                f'{method} /config HTTP/1.1',
                {
                    'Host': f'{address[0]}:{address[1]}',
                    'Content-Type': 'application/json',
                    'Connection': 'close',
                },
                body,
            )
            answer = await fetch(address, request, timeout_s)
            if answer is None or answer.status != 307:
                return answer
            place = answer.headers['location'].split('/')[2]
            host, _, port = place.partition(':')
            address = (host, int(port))
        return answer
