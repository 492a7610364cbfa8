"""One run of a request at an upstream."""

from typing import final

import msgspec


@final
class Run(msgspec.Struct):
    """A run; `ended_at` is infinite while it lasts, in seconds of the loop.

    `has_broken` tells that the upstream broke the run off.
    """

    upstream: str
    started_at: float
    ended_at: float = float('inf')
    has_broken: bool = False
