"""Runs a VM until it is told to stop, then drains it."""

import asyncio
import signal
from collections.abc import Callable

from persimmonhold.observability import log_event
from persimmonhold.system._base_vm import BaseVm


async def run_until_stopped(create_vm: Callable[[], BaseVm]) -> bool:
    """Run until SIGTERM, SIGINT or a failure; tell whether a part failed.

    SIGHUP changes nothing that runs. Raises `OSError` where a part cannot
    start.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    async with create_vm() as vm:
        wait_tasks = [
            loop.create_task(stop_requested.wait()),
            loop.create_task(vm.background.failed.wait()),
        ]
        await asyncio.wait(wait_tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in wait_tasks:
            task.cancel()
        if stop_requested.is_set():
            await vm.drain()
        return vm.background.failed.is_set()


def _log_ignored_reload() -> None:
    """Go on with the settings of the start; another start reads new ones."""
    log_event('reload', changed=False)
