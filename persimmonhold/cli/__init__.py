"""The command-line interface."""

from persimmonhold.cli._dev_system import DevSystem
from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.cli._main import main, run_command

__all__ = ('DevSystem', 'ExitCode', 'main', 'run_command')
