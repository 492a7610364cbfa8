"""Replicas that have asked to join the group."""

from typing import final

import msgspec

from persimmonhold.consensus._member import ReplicaId


@final
class Spare(msgspec.Struct, frozen=True):
    """An empty replica that asks to join, and the time of its last `Hello`."""

    replica: ReplicaId
    address: str
    last_hello_at: float
