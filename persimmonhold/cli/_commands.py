"""The commands, as fire shows them."""

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final, final

from persimmonhold.cli._dev_system import DevSystem
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.web import Address

_LOOPBACK: Final = '127.0.0.1'
_CALLER_PORT: Final = 8080


@final
class Commands:
    """A serving system for many models on fewer accelerators."""

    def dev(self, port: int = _CALLER_PORT, directory: str = '') -> None:
        """Run control, entry and stand-ins in this one process.

        Args:
            port: Port for callers; operators get the next one.
            directory: Folder of the control state; a new one by default.
        """
        folder = directory or tempfile.mkdtemp(prefix='persimmonhold-')
        system = DevSystem(
            Path(folder),
            Address(_LOOPBACK, port),
            Address(_LOOPBACK, port + 1 if port else 0),
        )
        with LogOutput(LogLevel.warning, ''):
            asyncio.run(_run_dev(system))


async def _run_dev(system: DevSystem) -> None:
    async with system:
        sys.stdout.write(
            f'callers   http://{system.callers}\n'
            f'operators http://{system.operators}\n\n'
            f'curl -N http://{system.callers}/v1/chat/completions'
            ' -d \'{"model": "tutor", "stream": true, "messages":'
            ' [{"role": "user", "content": "Check my harness."}]}\'\n'
            f'curl http://{system.callers}/services/lodgements/returns'
            " -H 'Idempotency-Key: first' -d '{}'\n"
            f'curl http://{system.operators}/catalogue/v1/status\n',
        )
        sys.stdout.flush()
        await asyncio.Event().wait()
