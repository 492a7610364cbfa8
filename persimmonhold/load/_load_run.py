"""Performs a planned run against a deployment."""

import asyncio
import sys
from typing import Final, final

from persimmonhold.load._caller import Caller
from persimmonhold.load._entry_directory import EntryDirectory
from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._request_outcome import RequestOutcome

_PROGRESS_INTERVAL_S: Final = 1.0
_MAX_OPEN_REQUESTS: Final = 2000


@final
class LoadRun:
    """Starts each request when it is due, whatever became of the others.

    At most `_MAX_OPEN` requests are open at once; a later one then counts
    its waiting from when it was due.
    """

    __slots__ = (
        '_directory',
        '_open_slots',
        '_outcomes',
        '_planned',
        '_shows_progress',
    )

    def __init__(
        self,
        planned: tuple[PlannedRequest, ...],
        directory: EntryDirectory,
        *,
        show_progress: bool,
    ) -> None:
        """Create a run of planned requests."""
        self._planned = planned
        self._directory = directory
        self._shows_progress = show_progress
        self._outcomes: list[RequestOutcome] = []
        self._open_slots = asyncio.Semaphore(_MAX_OPEN_REQUESTS)

    async def run(self) -> tuple[RequestOutcome, ...]:
        """Send everything and return the outcomes."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        progress = loop.create_task(self._report_progress())
        async with asyncio.TaskGroup() as group:
            for planned in self._planned:
                due_at = started_at + planned.at_s
                await asyncio.sleep(max(0, due_at - loop.time()))
                group.create_task(self._send(planned, due_at))
        progress.cancel()
        return tuple(self._outcomes)

    async def _send(self, planned: PlannedRequest, due_at: float) -> None:
        async with self._open_slots:
            caller = Caller(planned, self._directory, due_at)
            self._outcomes.append(await caller.run())

    async def _report_progress(self) -> None:
        while self._shows_progress:
            await asyncio.sleep(_PROGRESS_INTERVAL_S)
            whole = sum(outcome.is_complete for outcome in self._outcomes)
            sys.stderr.write(
                f'\r{len(self._outcomes)} of {len(self._planned)} settled,'
                f' {whole} answered whole ',
            )
            sys.stderr.flush()
