"""The command line."""

from persimmonhold.cli._dev_system import DevSystem
from persimmonhold.cli._main import main

__all__ = ('DevSystem', 'main')
