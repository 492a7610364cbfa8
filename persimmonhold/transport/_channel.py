"""Channels of the messages between processes."""

import enum
from typing import final


@final
@enum.unique
class Channel(enum.IntEnum):
    """The channel of a message, sent as its first byte.

    It selects the component that receives the message; `probe` is handled
    by the transport itself.
    """

    consensus = 1
    control = 2
    membership = 3
    dissemination = 4
    fleet = 5
    probe = 6
