"""Why an entry sends an upstream no new requests."""

import enum
from typing import final


@final
@enum.unique
class SparingCause(enum.StrEnum):
    """What the upstream stated in a response to this VM.

    `leaving`: its process is about to end.
    `turned_away`: it refused a request, and wants none for a stated time.
    """

    leaving = 'leaving'
    turned_away = 'turned_away'
