"""The kinds of requests in a load run."""

import enum
from types import MappingProxyType
from typing import Final, final


@final
@enum.unique
class RequestKind(enum.StrEnum):
    """The kind of a planned request, which determines its bounds.

    `stream`, `check` and `batch` are generations of a model; only `stream`
    is streamed. `call` is a POST to a service with an idempotency key, and
    `lookup` is a GET from a service.
    """

    stream = 'stream'
    check = 'check'
    batch = 'batch'
    call = 'call'
    lookup = 'lookup'

    @property
    def time_limit_s(self) -> float:
        """The longest time allowed from when a request is due to its end."""
        return _TIME_LIMIT_S[self]


_TIME_LIMIT_S: Final = MappingProxyType({
    RequestKind.stream: 30.0,
    RequestKind.check: 3.0,
    RequestKind.batch: 60.0,
    RequestKind.call: 10.0,
    RequestKind.lookup: 3.0,
})
