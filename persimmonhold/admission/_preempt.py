"""The action that preempts a batch request in favour of urgent ones."""

from typing import final

import msgspec


@final
class Preempt(msgspec.Struct, frozen=True):
    """Stop the request's attempt, then call `Dispatcher.requeue_preempted`.

    If the attempt ends by itself before that, call `Dispatcher.end_request`
    instead.
    """

    request_id: str
