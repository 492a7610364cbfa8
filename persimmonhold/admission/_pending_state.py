"""The states of a request in the dispatcher."""

import enum
from typing import final


@final
@enum.unique
class PendingState(enum.StrEnum):
    """The dispatcher's states of a request.

    `waiting` is in a queue, `running` has an attempt at an upstream,
    `stopping` has an attempt that is being preempted.
    """

    waiting = 'waiting'
    running = 'running'
    stopping = 'stopping'
    ended = 'ended'
