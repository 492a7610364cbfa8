"""The action that starts an attempt."""

from typing import final

import msgspec


@final
class Connect(msgspec.Struct, frozen=True, kw_only=True):
    """Connect to an upstream and send the request.

    `attempt_number` counts the request's attempts from 1. `resume_offset` is
    the number of tokens already sent to the caller.
    """

    attempt_number: int
    upstream: str
    address: str
    resume_offset: int = 0
