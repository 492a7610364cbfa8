"""Implementation of the dev command."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import Final

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._dev_system import DevSystem
from persimmonhold.cli._start_failure import classify_start_error
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.web import Address

_LOOPBACK: Final = '127.0.0.1'


def run_dev(port: int, directory: str) -> CommandOutput:
    """Run the whole system in this process until SIGTERM or SIGINT.

    `port` is that of the callers; without a directory, the state is kept in a
    new temporary folder.
    """
    state_directory = directory or tempfile.mkdtemp(prefix='persimmonhold-')
    system = DevSystem(
        Path(state_directory),
        Address(_LOOPBACK, port),
        Address(_LOOPBACK, port + 1 if port else 0),
    )
    try:
        with LogOutput(LogLevel.warning, ''):
            asyncio.run(_run_until_signal(system))
    except OSError as error:
        return failure_output(classify_start_error(state_directory, error))
    return CommandOutput(text='stopped')


async def _run_until_signal(system: DevSystem) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    async with system:
        sys.stdout.write(_format_usage(system))
        sys.stdout.flush()
        await stopped.wait()


def _format_usage(system: DevSystem) -> str:
    chat = (
        '{"model": "tutor", "stream": true, "messages":'
        ' [{"role": "user", "content": "Check my harness."}]}'
    )
    return (
        f'callers   http://{system.caller_address}\n'
        f'operators http://{system.operator_address}\n\n'
        f'curl -N http://{system.caller_address}/v1/chat/completions'
        f" -d '{chat}'\n"
        f'curl http://{system.caller_address}/services/lodgements/returns'
        " -H 'Idempotency-Key: first' -d '{}'\n"
        f'curl http://{system.caller_address}/services/status/returns/7\n'
        f'curl http://{system.operator_address}/catalogue/v1/status\n'
    )
