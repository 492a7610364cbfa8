"""The states of a request in the dispatcher."""

import enum
from typing import final


@final
@enum.unique
class PendingState(enum.StrEnum):
    """The dispatcher's states of a request.

    A `waiting` request is in a queue. A `running` request has an attempt at an
    upstream, a `stopping` request an attempt that is being preempted. An
    `ended` request has been removed from the dispatcher.
    """

    waiting = 'waiting'
    running = 'running'
    stopping = 'stopping'
    ended = 'ended'
