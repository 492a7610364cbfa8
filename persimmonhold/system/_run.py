"""Runs a VM until it is told to stop, then drains it."""

import asyncio
import signal
from collections.abc import Callable

from persimmonhold.observability import log_event
from persimmonhold.system._base_vm import BaseVm


async def run_until_stopped(create: Callable[[], BaseVm]) -> bool:
    """Run until SIGTERM, SIGINT or a failure; tell whether a part failed.

    SIGHUP changes nothing that runs. Raises `OSError` where a part cannot
    start.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    async with create() as vm:
        waits = [
            loop.create_task(stopped.wait()),
            loop.create_task(vm.background.failed.wait()),
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if stopped.is_set():
            await vm.drain()
        return vm.background.failed.is_set()


def _reload() -> None:
    """Go on with the settings of the start; another start reads new ones."""
    log_event('reload', changed=False)
