"""The action that preempts a batch request for more urgent work."""

from typing import final

import msgspec


@final
class Preempt(msgspec.Struct, frozen=True):
    """Stop the attempt, then call `Dispatcher.requeue_preempted`.

    If the attempt has ended in the meantime, `Dispatcher.end` is called
    instead.
    """

    request_id: str
