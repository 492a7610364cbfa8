"""Signals that come after the VM of a process has stopped."""

import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

_PROGRAM = """
import asyncio, os, signal, sys
from types import SimpleNamespace
from persimmonhold.system import run_process

class StoppingVm:
    async def __aenter__(self):
        self.background = SimpleNamespace(failed=asyncio.Event())
        os.kill(os.getpid(), signal.SIGTERM)
        return self

    async def __aexit__(self, *exc_info):
        pass

    async def drain(self, *, at_once=False):
        pass

run_process(StoppingVm)
os.kill(os.getpid(), signal.Signals[sys.argv[1]])
"""


@pytest.mark.parametrize('name', ['SIGTERM', 'SIGINT', 'SIGHUP'])
def test_signal_after_the_stop_does_not_change_the_status(name: str) -> None:
    """A SIGHUP for new settings ended a process that had stopped cleanly."""
    ended = subprocess.run(
        [sys.executable, '-c', _PROGRAM, name], check=False, timeout=30
    )
    assert_that(ended.returncode, Equals(0))
