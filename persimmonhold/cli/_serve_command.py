"""Implementation of the serve command."""

from pathlib import Path

from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.cli._start_failure import classify_start_error
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.settings import Settings, read_ini
from persimmonhold.system import VmProcess, run_process


def run_vm(settings_path: str) -> CommandOutput:
    """Run one VM until SIGTERM or SIGINT, then drain it."""
    loaded = read_ini(Path(settings_path), Settings)
    if isinstance(loaded, Failed):
        return failure_output(*loaded.failure())
    effective = loaded.unwrap()
    missing = missing_key_failures(effective, settings_path)
    if missing:
        return failure_output(*missing)
    try:
        with LogOutput(LogLevel(effective.logs.level), effective.logs.path):
            has_failed = run_process(lambda: VmProcess(effective))
    except OSError as error:
        return failure_output(classify_start_error(effective.vm.name, error))
    if has_failed:
        return CommandOutput(
            text='persimmonhold: a component failed; see the log',
            exit_code=ExitCode.refused,
        )
    return CommandOutput(text='stopped')


def missing_key_failures(
    settings: Settings, source: str
) -> tuple[Failure, ...]:
    """Return a failure for each empty key that the roles of the VM require."""
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
            detail=f'[{section}] {key}: required by the roles of this VM',
        )
        for section, key, text in needed
        if not text
    )
