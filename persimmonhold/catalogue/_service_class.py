"""The classes of service."""

import enum
from typing import final


@final
@enum.unique
class ServiceClass(enum.StrEnum):
    """The class of service of a request.

    Members are declared from the highest priority to the lowest.
    """

    call = 'call'
    interactive = 'interactive'
    check = 'check'
    batch = 'batch'

    @property
    def rank(self) -> int:
        """The priority as a number; 0 is the highest."""
        return list(ServiceClass).index(self)
