"""Whether a refused request may have been executed."""

import enum
from typing import final


@final
@enum.unique
class Ran(enum.StrEnum):
    """Whether the request ran; `no` is reported only when that is certain."""

    no = 'no'
    unknown = 'unknown'
