"""Signals to child processes of an event loop."""

import contextlib
import os
import signal
from asyncio.subprocess import Process


def send_signal(process: Process, number: signal.Signals) -> None:
    """Send a signal to a child process unless it has ended.

    `Process.send_signal` polls the child before it sends. If the child has
    just ended, that takes its exit status away from the child watcher of the
    loop, which then reports 255.
    """
    if process.returncode is None:
        # The child may have been reaped without the loop knowing it yet.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
