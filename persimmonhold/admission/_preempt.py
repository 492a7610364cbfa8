"""The action that preempts a batch request in favour of urgent ones."""

from typing import final

import msgspec


@final
class Preempt(msgspec.Struct, frozen=True):
    """Stop the request's attempt, then call `Dispatcher.requeue_preempted`.

    If the attempt has ended in the meantime, call `Dispatcher.end_request`
    instead.
    """

    request_id: str
