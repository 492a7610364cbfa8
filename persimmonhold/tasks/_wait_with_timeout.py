"""Waits for an event, but not for long."""

import asyncio
from contextlib import suppress


async def wait_with_timeout(event: asyncio.Event, timeout_s: float) -> None:
    """Return once the event is set or the time is over."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
