"""Bounds on what an HTTP peer may send and how slowly."""

from typing import final

import msgspec


@final
class HttpBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes in bytes and times in seconds; statuses of what breaks them."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    max_buffered_bytes: int = 268_435_456
    head_timeout_s: float = 10
    body_timeout_s: float = 30
    idle_timeout_s: float = 75
    send_timeout_s: float = 30
    max_connections: int = 4096
    large_head_status: int = 413
    slow_head_status: int = 400
