"""Implementation of the standin command."""

import asyncio
import signal
from pathlib import Path

from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._start_failure import classify_start_error
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.settings import StandinSettings, read_ini
from persimmonhold.standin import Standin


def run_standin(settings_path: str) -> CommandOutput:
    """Run a stand-in engine or service until SIGTERM or SIGINT."""
    loaded = read_ini(Path(settings_path), StandinSettings)
    if isinstance(loaded, Failed):
        return failure_output(*loaded.failure())
    effective = loaded.unwrap()
    try:
        with LogOutput(LogLevel(effective.logs.level), effective.logs.path):
            asyncio.run(_run_until_signal(Standin(effective.standin)))
    except OSError as error:
        address = effective.standin.address
        return failure_output(classify_start_error(address, error))
    return CommandOutput(text='stopped')


async def _run_until_signal(standin: Standin) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    async with standin:
        await stopped.wait()
