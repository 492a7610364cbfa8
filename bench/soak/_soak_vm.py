"""One VM as a process of its own."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Final, final

from bench.process_signals import send_signal
from bench.soak._record import Record
from bench.soak._stop import Stop

_ROOT: Final = Path(__file__).parent.parent.parent
# A process that is stopped before it handles signals ends by the signal.
_START_S: Final = 5.0


@final
class SoakVm:
    """Starts, signals and stops the process of a VM.

    `is_stopping` is True from a stop or kill until the next start.
    """

    def __init__(
        self, name: str, path: Path, grace_s: float, record: Record
    ) -> None:
        self.name = name
        self.path = path
        self.grace_s = grace_s
        self.record = record
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        self.is_stopping = False

    @property
    def has_ended_itself(self) -> bool:
        """Whether the process has ended without a stop or kill."""
        if self.is_stopping or self.process is None:
            return False
        return self.process.returncode is not None

    async def start(self) -> None:
        """Start the process; its output goes to a log beside the settings."""
        with self.path.with_suffix('.log').open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'persimmonhold.platform',
                stdout=output,
                stderr=output,
                cwd=_ROOT,
                env={
                    **os.environ,
                    'PERSIMMONHOLD_CONFIG': str(self.path),
                    'PYTHONFAULTHANDLER': '1',  # native code may crash
                },
            )
        self.started_at = _now()
        self.record.starts[self.name].append(self.started_at)
        self.is_stopping = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.process is not None:
            send_signal(self.process, number)

    async def stop(self, delay_s: float) -> None:
        """Stop by SIGTERM, kill after the grace period, start after a delay.

        A VM that is stopping gets another SIGTERM only.
        """
        self.send_signal(signal.SIGTERM)
        if self.is_stopping:
            return
        self.is_stopping = True
        stop = Stop(self.name, _now(), self.grace_s)
        self.record.stops.append(stop)
        code = await self._wait(self.grace_s)
        stop.ended_at = _now()
        is_new = stop.term_at - self.started_at < _START_S
        stop.code = 0 if is_new and code == -signal.SIGTERM else code
        await asyncio.sleep(delay_s)
        await self.start()

    async def kill(self, delay_s: float) -> None:
        """Kill the process, and start it again unless a stop does so."""
        self.record.disruptions[self.name].append((_now(), _now()))
        self.send_signal(signal.SIGKILL)
        if self.is_stopping:
            return
        self.is_stopping = True
        await self._wait(delay_s)
        await asyncio.sleep(delay_s)
        await self.start()

    async def freeze(self, length_s: float) -> None:
        """Suspend the process for a time."""
        frozen = self.process
        began_at = _now()
        spans = self.record.disruptions[self.name]
        spans.append((began_at, began_at + length_s))
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        if frozen is not None:
            send_signal(frozen, signal.SIGCONT)
        spans.append((began_at, _now()))

    async def close(self) -> None:
        """Kill the process for good."""
        self.is_stopping = True
        self.send_signal(signal.SIGKILL)
        await self._wait(0)

    async def _wait(self, timeout_s: float) -> int:
        """Wait for the end of the process, which is killed after a time."""
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


def _now() -> float:
    return asyncio.get_running_loop().time()
