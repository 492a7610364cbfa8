"""The severity of log lines."""

import enum
from typing import final


@final
@enum.unique
class LogLevel(enum.StrEnum):
    """Levels in order of increasing severity."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'

    @property
    def rank(self) -> int:
        """The severity as a number; higher is more severe."""
        return list(LogLevel).index(self)
