"""The classes of service."""

import enum
from typing import final


@final
@enum.unique
class ServiceClass(enum.StrEnum):
    """What kind of responsiveness a request was promised.

    Declared from the highest priority to the lowest.
    """

    call = 'call'
    interactive = 'interactive'
    check = 'check'
    batch = 'batch'

    @property
    def rank(self) -> int:
        """Priority as a number; 0 goes first."""
        return list(ServiceClass).index(self)
