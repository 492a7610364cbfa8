"""Runs a VM until a signal or a failure, and drains it."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Final

from persimmonhold.observability import log_event
from persimmonhold.system._base_vm import BaseVm

_STOP_SIGNALS: Final = (signal.SIGINT, signal.SIGTERM)


def run_process(create_vm: Callable[[], BaseVm]) -> bool:
    """Run a VM as `run_until_stopped` does, as the whole work of a process.

    Signals that come after the VM has stopped are ignored: without an event
    loop they would end the process with another status while it exits.
    """
    with asyncio.Runner() as runner:
        has_failed = runner.run(run_until_stopped(create_vm))
        loop = runner.get_loop()
        for signal_number in (*_STOP_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)
    return has_failed


async def run_until_stopped(create_vm: Callable[[], BaseVm]) -> bool:
    """Run a VM until SIGTERM, SIGINT or a failure of a background task.

    After a signal the VM is drained; after a failure, which may come while it
    is drained, it is drained at once. Returns whether a background task has
    failed. SIGHUP is logged and otherwise ignored. Raises `OSError` if a
    component cannot start.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    async with create_vm() as vm:
        failed = vm.background.failed
        await _run_until_first_ends(stop_requested.wait(), failed.wait())
        if not failed.is_set():
            await _run_until_first_ends(vm.drain(), failed.wait())
        if failed.is_set():
            await vm.drain(at_once=True)
        return failed.is_set()


async def _run_until_first_ends(
    *coroutines: Coroutine[None, None, object],
) -> None:
    """Run coroutines until one has ended, and cancel the others.

    Raises what that one has raised.
    """
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(one) for one in coroutines]
    ended, others = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED
    )
    for other in others:
        other.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    for task in ended:
        task.result()


def _log_ignored_reload() -> None:
    """Log that SIGHUP changes nothing: settings are read only at a start."""
    log_event('reload', changed=False)
