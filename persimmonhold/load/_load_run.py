"""Sends the planned requests of a run to a deployment."""

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
    """Starts each request when it is due, whether or not others have ended.

    At most `_MAX_OPEN_REQUESTS` requests are open at once. A request above
    this limit waits, and its times include the wait because they count from
    when it was due.
    """

    __slots__ = (
        '_directory',
        '_open_slots',
        '_outcomes',
        '_planned_requests',
        '_is_progress_shown',
    )

    def __init__(
        self,
        planned: tuple[PlannedRequest, ...],
        directory: EntryDirectory,
        *,
        show_progress: bool,
    ) -> None:
        """Create a run that sends `planned`, which is sorted by due time."""
        self._planned_requests = planned
        self._directory = directory
        self._is_progress_shown = show_progress
        self._outcomes: list[RequestOutcome] = []
        self._open_slots = asyncio.Semaphore(_MAX_OPEN_REQUESTS)

    async def run(self) -> tuple[RequestOutcome, ...]:
        """Send all requests; return their outcomes in order of completion."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        progress = loop.create_task(self._report_progress())
        async with asyncio.TaskGroup() as group:
            for planned in self._planned_requests:
                due_at = started_at + planned.at_s
                await asyncio.sleep(max(0, due_at - loop.time()))
                group.create_task(self._send_request(planned, due_at))
        progress.cancel()
        return tuple(self._outcomes)

    async def _send_request(
        self, planned: PlannedRequest, due_at: float
    ) -> None:
        async with self._open_slots:
            caller = Caller(planned, self._directory, due_at)
            self._outcomes.append(await caller.run())

    async def _report_progress(self) -> None:
        while self._is_progress_shown:
            await asyncio.sleep(_PROGRESS_INTERVAL_S)
            complete = sum(outcome.is_complete for outcome in self._outcomes)
            sys.stderr.write(
                f'\r{len(self._outcomes)} of {len(self._planned_requests)}'
                f' requests finished,'
                f' {complete} with a complete response ',
            )
            sys.stderr.flush()
