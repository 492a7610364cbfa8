"""The kinds of requests that callers send."""

import enum
from types import MappingProxyType
from typing import Final, final


@final
@enum.unique
class RequestKind(enum.StrEnum):
    """What a planned request is, and with that how it is judged."""

    stream = 'stream'
    check = 'check'
    batch = 'batch'
    call = 'call'
    lookup = 'lookup'

    @property
    def deadline_s(self) -> float:
        """The time in which a request of this kind is to be answered."""
        return _DEADLINE_S[self]


_DEADLINE_S: Final = MappingProxyType({
    RequestKind.stream: 30.0,
    RequestKind.check: 3.0,
    RequestKind.batch: 60.0,
    RequestKind.call: 10.0,
    RequestKind.lookup: 3.0,
})
