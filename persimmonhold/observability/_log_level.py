"""Severity of log lines."""

import enum
from typing import final


@final
@enum.unique
class LogLevel(enum.StrEnum):
    """Levels from the most to the least verbose."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'

    @property
    def rank(self) -> int:
        """Severity as a number."""
        return list(LogLevel).index(self)
