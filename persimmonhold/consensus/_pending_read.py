"""Linearizable reads that wait for a confirmation of leadership."""

from typing import final

import msgspec


@final
class PendingRead(msgspec.Struct, frozen=True):
    """Reads that wait for a confirmation of leadership and for a commit.

    They are ready once a quorum has answered the heartbeat round `sequence`
    and `index` is committed. `tokens` identify the reads.
    """

    sequence: int
    index: int
    tokens: tuple[int, ...]
