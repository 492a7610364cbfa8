"""Background tasks that are cancelled with their owner."""

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Self, final

from persimmonhold.observability import LogLevel, log_event


@final
class BackgroundTasks:
    """Owns background tasks; sets `failed` if one ends uncancelled.

    Each such end is also logged. Leaving the context cancels the tasks that
    `start_task` started, but not those that are only monitored.
    """

    __slots__ = ('failed', 'tasks')

    def __init__(self) -> None:
        """Create an owner without tasks."""
        self.failed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Return the owner; leaving the context cancels its tasks."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the started tasks and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def start_task(self, work: Coroutine[None, None, None], name: str) -> None:
        """Start a task that is expected to run until it is cancelled."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.append(task)
        self.monitor_task(task)

    def monitor_task(self, task: asyncio.Task[None]) -> None:
        """Log and set `failed` if a task of another owner ends uncancelled."""
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        log_event(
            'task_failed',
            LogLevel.error,
            task=task.get_name(),
            error=repr(task.exception()),
        )
        self.failed.set()
