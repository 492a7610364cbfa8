"""Limits on the size and the duration of HTTP requests."""

from typing import final

import msgspec


@final
class HttpBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of an HTTP server, and the statuses of requests beyond them.

    `max_buffered_bytes` limits the request bodies of all connections
    together, where the process has no common budget; the other sizes and
    `max_header_fields` limit one request. `idle_timeout_s` applies between
    requests, `send_timeout_s` while the peer reads no response bytes.
    """

    max_head_bytes: int = 16_384
    max_header_fields: int = 512  # usual clients send fewer than 50
    max_body_bytes: int = 4_194_304
    max_buffered_bytes: int = 268_435_456
    head_timeout_s: float = 10
    body_timeout_s: float = 30
    idle_timeout_s: float = 75
    send_timeout_s: float = 30
    max_connections: int = 4096
    large_head_status: int = 413
    slow_head_status: int = 400
