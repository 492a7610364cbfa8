"""Running work that is ended in steps when its time limits pass."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeAlias

from persimmonhold.observability import LogLevel, log_event

_TimeLimit: TypeAlias = tuple[float, Callable[[], None]]


async def run_with_time_limits(
    work: Coroutine[None, None, None],
    *limits: _TimeLimit,
    clock: Callable[[], float],
    flush_s: float,
) -> None:
    """Run `work` until it ends, at the latest `flush_s` after its last limit.

    A limit is a time of `clock` and a function, which is called at that time
    unless the work has ended, and has to bring the end about. Work that has
    not ended after the last limit and `flush_s` seconds is cancelled. Work
    that fails is logged, and the functions are called at once.
    """
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_log_failure)
    try:
        for limit_at, end_work in limits:
            left_s = max(0, limit_at - clock())
            await asyncio.wait((task,), timeout=left_s)
            if not _has_succeeded(task):
                end_work()
        await asyncio.wait((task,), timeout=flush_s)
    finally:
        task.cancel()


def _has_succeeded(task: asyncio.Task[None]) -> bool:
    if not task.done() or task.cancelled():
        return False
    return task.exception() is None


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled() or _has_succeeded(task):
        return
    log_event('drain_failed', LogLevel.error, error=repr(task.exception()))
