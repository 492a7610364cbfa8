"""Waiting for an event with a time-out."""

import asyncio
from contextlib import suppress


async def wait_with_timeout(event: asyncio.Event, timeout_s: float) -> None:
    """Return when the event is set or after `timeout_s`."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
