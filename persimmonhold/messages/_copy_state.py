"""The state of a copy of a model or adapter."""

import enum
from typing import final


@final
@enum.unique
class CopyState(enum.StrEnum):
    """Life of a copy, as the entries are told.

    Only `serving` copies receive new work. A copy is `withdrawing` until
    every live entry has stopped choosing it; then it is unloaded.
    """

    loading = 'loading'
    serving = 'serving'
    withdrawing = 'withdrawing'
