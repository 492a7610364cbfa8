"""The states of a request at the dispatcher."""

import enum
from typing import final


@final
@enum.unique
class PendingState(enum.StrEnum):
    """Waiting, running, being stopped for urgent work, or forgotten."""

    waiting = 'waiting'
    running = 'running'
    stopping = 'stopping'
    ended = 'ended'
