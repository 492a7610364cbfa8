"""The kinds of requests that callers send."""

import enum
from typing import final


@final
@enum.unique
class RequestKind(enum.StrEnum):
    """What a planned request is, and with that how it is judged."""

    stream = 'stream'
    check = 'check'
    batch = 'batch'
    call = 'call'
    lookup = 'lookup'
