"""The states of a request in the dispatcher."""

import enum
from typing import final


@final
@enum.unique
class PendingState(enum.StrEnum):
    """Waiting in a queue, running, being preempted, or ended."""

    waiting = 'waiting'
    running = 'running'
    stopping = 'stopping'
    ended = 'ended'
