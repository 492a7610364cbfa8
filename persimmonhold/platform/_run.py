"""Runs one VM on the platform until it stops."""

import os
from pathlib import Path
from typing import Final

from returns.result import Failure as Failed

from persimmonhold.failures import Failure
from persimmonhold.observability import LogLevel, LogOutput
from persimmonhold.platform._adapter import HttpPlatformAdapter
from persimmonhold.platform._settings_file import read_settings_file
from persimmonhold.system import ForwardingVm, run_process

_SETTINGS_VARIABLE: Final = 'PERSIMMONHOLD_CONFIG'


def run_on_platform(settings_path: str = '') -> str:
    """Run the VM of a settings file until it stops.

    Without a path, the variable PERSIMMONHOLD_CONFIG names the file. Returns an
    error text, which is empty if no background task failed.
    """
    path = settings_path or os.environ.get(_SETTINGS_VARIABLE, '')
    read = read_settings_file(Path(path))
    if isinstance(read, Failed):
        failure: Failure = read.failure()
        return failure.describe()
    file = read.unwrap()
    logs = file.settings.logs
    try:
        with LogOutput(LogLevel(logs.level), logs.path):
            failed = run_process(
                lambda: ForwardingVm(file.settings, HttpPlatformAdapter(file))
            )
    except OSError as error:
        return f'start: {error}'
    return 'a part failed; see the log' if failed else ''
