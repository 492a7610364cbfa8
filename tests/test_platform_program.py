"""Tests of the exit status of a VM that runs as a program on the platform."""

import asyncio
import os
import runpy
import signal
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import Callable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from bench.process_signals import send_signal
from persimmonhold.platform import _run as run_module
from persimmonhold.system import ForwardingVm
from tests.platform_fakes import FakePlatform

_TIMEOUT_S = 30
_VM = 'c9'
_SETTINGS_VARIABLE = 'PERSIMMONHOLD_CONFIG'


async def _stop_when_started(process: Process, stop: signal.Signals) -> bytes:
    """Send a signal to a started VM; return what it wrote as errors."""
    assert process.stdout is not None
    while b'"started"' not in await process.stdout.readline():
        assert_that(process.stdout.at_eof(), Is(False))
    send_signal(process, stop)
    _, errors = await process.communicate()
    return errors


@pytest.mark.parametrize(
    'arguments',
    [['persimmonhold.platform'], ['persimmonhold', 'platform']],
    ids=['module', 'command'],
)
@pytest.mark.parametrize(
    'stop', [signal.SIGTERM, signal.SIGINT], ids=['term', 'int']
)
def test_program_that_stopped_cleanly_exits_with_status_zero(
    arguments: list[str], stop: signal.Signals, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with FakePlatform(tmp_path) as platform:
            path = platform.settings.write_file(_VM, (_VM,))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *arguments,
                stdout=PIPE,
                stderr=PIPE,
                env={**os.environ, _SETTINGS_VARIABLE: str(path)},
            )
            try:
                errors = await _stop_when_started(process, stop)
            finally:
                if process.returncode is None:
                    send_signal(process, signal.SIGKILL)
                    await process.wait()
        assert_that(errors, Equals(b''))
        assert_that(process.returncode, Equals(0))

    asyncio.run(asyncio.wait_for(scenario(), _TIMEOUT_S))


async def _signal_until_ended(process: Process) -> None:
    """Send SIGTERM to a VM again and again once it says that it stopped."""
    assert process.stdout is not None
    send_signal(process, signal.SIGTERM)
    while b'"stopped"' not in await process.stdout.readline():
        assert_that(process.stdout.at_eof(), Is(False))
    while process.returncode is None:
        send_signal(process, signal.SIGTERM)
        await asyncio.sleep(0.001)


def test_signal_does_not_take_the_status_of_a_process_that_has_ended() -> None:
    """The watcher of a child must be the only one that collects its status."""

    async def scenario() -> int:
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', 'pass'
        )
        while process.returncode is None:
            send_signal(process, signal.SIGCONT)
            await asyncio.sleep(0)
        return process.returncode

    for _ in range(10):
        assert_that(asyncio.run(scenario()), Equals(0))


def test_signals_after_a_stop_do_not_change_its_status(tmp_path: Path) -> None:
    """The default of SIGTERM ended a process that was closing its sockets."""

    async def scenario() -> None:
        async with FakePlatform(tmp_path) as platform:
            path = platform.settings.write_file(_VM, (_VM,))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'persimmonhold.platform',
                stdout=PIPE,
                env={**os.environ, _SETTINGS_VARIABLE: str(path)},
            )
            assert process.stdout is not None
            while b'"started"' not in await process.stdout.readline():
                assert_that(process.stdout.at_eof(), Is(False))
            await _signal_until_ended(process)
        assert_that(process.returncode, Equals(0))

    asyncio.run(asyncio.wait_for(scenario(), _TIMEOUT_S))


def test_program_with_a_failed_part_exits_with_a_text(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(create_vm: Callable[[], ForwardingVm]) -> bool:
        return True

    platform = FakePlatform(tmp_path)
    platform.settings.list_address = '127.0.0.1:9'
    path = platform.settings.write_file(_VM, (_VM,))
    monkeypatch.setenv(_SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(run_module, 'run_process', fail)
    with pytest.raises(SystemExit, match='a part failed'):
        runpy.run_module('persimmonhold.platform', run_name='__main__')
