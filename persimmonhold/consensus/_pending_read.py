"""Reads that wait for a confirmed round."""

from typing import final

import msgspec


@final
class PendingRead(msgspec.Struct, frozen=True):
    """Reads that need an answered round and a commit index."""

    sequence: int
    index: int
    tokens: tuple[int, ...]
