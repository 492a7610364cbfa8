"""An event of the prefix cache of an engine."""

from typing import final

import msgspec


@final
class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """The storing of a prompt prefix, or its eviction if `stored` is false."""

    sequence: int
    target: str
    prefix_hash: str
    stored: bool
