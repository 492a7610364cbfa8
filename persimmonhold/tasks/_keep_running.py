"""Parts of a process that are started anew after an unexpected error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from persimmonhold.observability import LogLevel, log_event

_FIRST_PAUSE_S: Final = 0.1
_MAX_PAUSE_S: Final = 5.0
# A part that has run for this long has got over its last error.
_STABLE_S: Final = 10.0


async def keep_running(
    start: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    """Run a part until cancelled; start it anew after each error.

    The pauses grow while errors follow each other closely. For parts that
    only read what comes from outside and hold no durable state: one input that
    they cannot handle is logged, and the next one is handled.
    """
    loop = asyncio.get_running_loop()
    pause_s = _FIRST_PAUSE_S
    while True:
        began_at = loop.time()
        error = await _run_once(start())
        if loop.time() - began_at >= _STABLE_S:
            pause_s = _FIRST_PAUSE_S
        log_event(
            'part_failed',
            LogLevel.error,
            part=name,
            error=repr(error),
            pause_s=pause_s,
        )
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, _MAX_PAUSE_S)


async def _run_once(work: Coroutine[Any, Any, None]) -> BaseException | None:
    """Run work to its end, and return its error; end it if cancelled."""
    task = asyncio.get_running_loop().create_task(work)
    try:
        await asyncio.wait((task,))
    except asyncio.CancelledError:
        task.cancel()
        await asyncio.wait((task,))
        raise
    return task.exception()
