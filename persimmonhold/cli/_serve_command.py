"""The serve command."""

import asyncio
import signal
from pathlib import Path
from typing import Final

from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.failures import Failure, FailureKind, StartError
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.settings import Settings, read_ini
from persimmonhold.system import VmProcess

_ADDRESS_ERRORS: Final = ('address already in use', 'cannot assign requested')


def run_vm(settings: str) -> CommandOutput:
    """Run one VM until SIGTERM or SIGINT, then drain it."""
    checked = read_ini(Path(settings), Settings)
    if isinstance(checked, Failed):
        return failure_output(*checked.failure())
    effective = checked.unwrap()
    missing = missing_keys(effective, settings)
    if missing:
        return failure_output(*missing)
    try:
        with LogOutput(LogLevel(effective.logs.level), effective.logs.path):
            failed = asyncio.run(_serve(effective))
    except OSError as error:
        return failure_output(_not_started(effective.vm.name, error))
    if failed:
        return CommandOutput(
            text='persimmonhold: a part failed; see the log',
            exit_code=ExitCode.refused,
        )
    return CommandOutput(text='stopped')


def missing_keys(settings: Settings, source: str) -> tuple[Failure, ...]:
    """Return the keys that the roles need and that are empty."""
    needed = [('peers', 'address', settings.peers.address)]
    needed.append(('peers', 'control', settings.peers.control))
    if settings.vm.has_entry:
        needed.append(('callers', 'address', settings.callers.address))
    if settings.vm.has_control:
        needed.append(('operators', 'address', settings.operators.address))
        needed.append(('vm', 'data_directory', settings.vm.data_directory))
    return tuple(
        Failure(
            kind=FailureKind.bad_settings,
            step='read settings',
            peer=source,
            detail=f'[{section}] {key}: the roles of this VM need it',
        )
        for section, key, text in needed
        if not text
    )


async def _serve(settings: Settings) -> bool:
    """Run until a signal or a failure; tell whether a part failed."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    async with VmProcess(settings) as vm:
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


def _not_started(name: str, error: OSError) -> Failure:
    if isinstance(error, StartError):
        return error.failure
    detail = error.strerror or str(error)
    is_address = any(text in detail.lower() for text in _ADDRESS_ERRORS)
    kind = FailureKind.storage_unwritable
    if is_address:
        kind = FailureKind.address_in_use
    return Failure(kind=kind, step='start', peer=name, detail=detail)
