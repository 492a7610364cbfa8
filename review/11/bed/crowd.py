"""Connections that send one request after another."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable
from typing import Final

from bed.http import read_body, read_head
from bed.record import BROKEN, HELD, Record
from bed.world import World

_CONNECT_S: Final = 1.0
_PAUSE_S: Final = 0.05  # before the next connection
_NOTE_S: Final = 5.0


class Crowd:
    """Sends what `build_request` returns for each number, from 1.

    Requests wait for `answer_s` at most. `statuses` counts the answers.
    """

    def __init__(
        self, world: World, build_request: Callable[[int], bytes], answer_s: float
    ) -> None:
        self.world = world
        self.build_request = build_request
        self.answer_s = answer_s
        self.numbers = itertools.count(1)
        self.statuses: dict[int, int] = {}

    async def play(
        self, record: Record, connections: int, length_s: float
    ) -> tuple[int, str]:
        """Send requests for a time; tell whether processes have ended."""
        machines = self.world.deployment.machines.values()
        tasks = [
            asyncio.create_task(self._use_connections(number))
            for number in range(connections)
        ]
        ends_at = time.monotonic() + length_s
        while time.monotonic() < ends_at:
            await asyncio.sleep(_NOTE_S)
            used = {one.name: f'{one.peak_mb:.0f} MB' for one in machines}
            record.note(f'answers by status {self.statuses}, memory {used}')
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ended = {one.name: one.exits for one in machines if one.exits}
        if ended:
            return BROKEN, f'processes ended: {ended}'
        return HELD, 'no process ended'

    async def _use_connections(self, number: int) -> None:
        """Send requests on a connection, and on another once it is closed."""
        edge = self.world.deployment.edge
        address = self.world.deployment.frontend(edge[number % len(edge)])
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_CONNECT_S):
                    reader, writer = await asyncio.open_connection(*address)
                try:
                    await self._send_requests(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(_PAUSE_S)

    async def _send_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = self.build_request(next(self.numbers))
            async with asyncio.timeout(self.answer_s):
                writer.write(request)
                answer = await read_head(reader)
                if answer is None:
                    return
                await read_body(reader, answer)
            count = self.statuses.get(answer.status, 0)
            self.statuses[answer.status] = count + 1
