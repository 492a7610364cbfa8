"""The state of a copy of a model or adapter."""

import enum
from typing import final


@final
@enum.unique
class CopyState(enum.StrEnum):
    """Lifecycle state of a copy, as reported to the entries.

    Only `serving` copies receive new requests. A copy is `withdrawing` until
    all live entries have stopped routing to it; then it is unloaded.
    """

    loading = 'loading'
    serving = 'serving'
    withdrawing = 'withdrawing'
