"""Whether a refused request may have been executed."""

import enum
from typing import final


@final
@enum.unique
class Ran(enum.StrEnum):
    """Execution certainty told to a caller; `no` only when certain."""

    no = 'no'
    unknown = 'unknown'
