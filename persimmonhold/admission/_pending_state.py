"""The states of a request at the dispatcher."""

import enum
from typing import final


@final
@enum.unique
class PendingState(enum.StrEnum):
    """Waiting for dispatch, running, or being stopped for urgent work."""

    waiting = 'waiting'
    running = 'running'
    stopping = 'stopping'
