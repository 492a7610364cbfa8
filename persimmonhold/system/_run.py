"""Runs a VM until a signal or a failure, and drains it on a signal."""

import asyncio
import signal
from collections.abc import Callable

from persimmonhold.observability import log_event
from persimmonhold.system._base_vm import BaseVm


async def run_until_stopped(create_vm: Callable[[], BaseVm]) -> bool:
    """Run a VM until SIGTERM, SIGINT or a failure of a background task.

    After a signal the VM is drained. Returns whether a background task has
    failed. SIGHUP is logged and otherwise ignored. Raises `OSError` if a
    component cannot start.
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
    """Log that SIGHUP changes nothing: settings are read only at a start."""
    log_event('reload', changed=False)
