"""How an attempt at an upstream ended, as the dispatcher has to know."""

import enum
from typing import final


@final
@enum.unique
class AttemptEnd(enum.StrEnum):
    """Evidence about an upstream.

    `answered` is a whole answer, `unreachable` a connection that was not
    made, `full` a refusal for lack of room, `absent` one for lack of the
    model or adapter, `replaced` an answer of another process, `failed` an
    error or a broken answer, `silent` one that did not come, `unsent` a
    request that was not sent after all, `cancelled` says nothing.
    """

    answered = 'answered'
    unreachable = 'unreachable'
    full = 'full'
    absent = 'absent'
    replaced = 'replaced'
    failed = 'failed'
    silent = 'silent'
    unsent = 'unsent'
    cancelled = 'cancelled'
