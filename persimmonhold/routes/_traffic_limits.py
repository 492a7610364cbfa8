"""Limits on the requests of callers."""

from typing import final

import msgspec


@final
class TrafficLimits(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Limits on the size of a request and the time to receive it.

    `head_timeout_ms` limits the time to receive the head, and again the body.
    A connection without a request is closed after `idle_timeout_ms`.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0
