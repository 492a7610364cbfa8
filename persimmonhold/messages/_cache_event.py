"""A change of an engine's prefix cache."""

from typing import final

import msgspec


@final
class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One prefix block that was stored or evicted."""

    sequence: int
    target: str
    prefix_hash: str
    stored: bool
