"""The phases of a planned stop."""

import enum
from typing import final


@final
@enum.unique
class DrainPhase(enum.StrEnum):
    """How far an entry has left.

    In `leaving` it is out of the directory and serves as before, because
    callers keep its address for a while. In `closing` it takes no new
    connection, and answers what still comes with `Connection: close`. It is
    `drained` when nothing runs any more or the time for that is up.
    """

    serving = 'serving'
    leaving = 'leaving'
    closing = 'closing'
    drained = 'drained'
