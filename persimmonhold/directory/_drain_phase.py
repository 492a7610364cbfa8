"""The phases of an entry's planned stop."""

import enum
from typing import final


@final
@enum.unique
class DrainPhase(enum.StrEnum):
    """The progress of an entry's planned stop.

    In `leaving` the entry is out of the directory but serves as before,
    because callers use its address until the directory's TTL has passed. In
    `closing` it accepts no new connection and finishes the requests in
    flight. In `drained` no request is in flight any more, or the timeout for
    them has passed, and the entry may stop.
    """

    serving = 'serving'
    leaving = 'leaving'
    closing = 'closing'
    drained = 'drained'
