"""What a message between processes is about."""

import enum
from typing import final


@final
@enum.unique
class Channel(enum.IntEnum):
    """The first byte of every message; names its reader."""

    consensus = 1
    control = 2
    membership = 3
    dissemination = 4
    fleet = 5
    probe = 6
