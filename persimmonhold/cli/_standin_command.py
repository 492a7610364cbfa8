"""The standin command."""

import asyncio
import signal
from pathlib import Path

from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.settings import StandinSettings, read_ini
from persimmonhold.standin import Standin


def run_standin(settings: str) -> CommandOutput:
    """Run a stand-in until SIGTERM or SIGINT."""
    checked = read_ini(Path(settings), StandinSettings)
    if isinstance(checked, Failed):
        return failure_output(*checked.failure())
    effective = checked.unwrap()
    try:
        with LogOutput(LogLevel(effective.logs.level), effective.logs.path):
            asyncio.run(_serve(Standin(effective.standin)))
    except OSError as error:
        return failure_output(
            Failure(
                kind=FailureKind.address_in_use,
                step='start',
                peer=effective.standin.address,
                detail=error.strerror or str(error),
            ),
        )
    return CommandOutput(text='stopped')


async def _serve(standin: Standin) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    async with standin:
        await stopped.wait()
