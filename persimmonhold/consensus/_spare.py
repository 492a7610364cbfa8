"""Replicas that have asked to join the group."""

from typing import final

import msgspec

from persimmonhold.consensus._member import ReplicaId


@final
class Spare(msgspec.Struct, frozen=True):
    """An empty replica that asks to join.

    `waiting_since` and `last_hello_at` are the times of its first and its
    last `Hello` to this leader.
    """

    replica: ReplicaId
    address: str
    last_hello_at: float
    waiting_since: float = float('inf')
