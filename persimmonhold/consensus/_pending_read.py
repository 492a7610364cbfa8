"""Linearizable reads that wait for a confirmation of leadership."""

from typing import final

import msgspec


@final
class PendingRead(msgspec.Struct, frozen=True):
    """Reads that wait for a quorum to answer a round, and for a commit.

    `sequence` is the heartbeat round and `index` the commit index needed.
    """

    sequence: int
    index: int
    tokens: tuple[int, ...]
