"""The action that stops a batch request for more urgent work."""

from typing import final

import msgspec


@final
class Preempt(msgspec.Struct, frozen=True):
    """Stop the attempt and come back through `Dispatcher.requeue_preempted`.

    An attempt that ended meanwhile is told by `Dispatcher.end` instead.
    """

    request_id: str
