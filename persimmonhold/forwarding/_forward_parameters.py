"""What the system adds to a request that it forwards."""

from typing import final

import msgspec


@final
class ForwardParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Time left in milliseconds, the upstream meant, rank and resumption.

    `resume_after` is the last event that the caller has of a broken stream.
    """

    time_left_ms: int
    upstream: str
    urgency: int
    resume_after: str = ''
