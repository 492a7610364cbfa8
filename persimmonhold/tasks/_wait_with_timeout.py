"""Waiting for an event with a time-out."""

import asyncio
from contextlib import suppress


async def wait_with_timeout(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until the event is set, for at most `timeout_s`.

    Nothing tells the two cases apart; a caller checks the event itself.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
