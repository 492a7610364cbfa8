"""A replica that asked to become a member."""

from typing import final

import msgspec

from persimmonhold.consensus._member import ReplicaId


@final
class Spare(msgspec.Struct, frozen=True):
    """An empty replica and when it last said so."""

    replica: ReplicaId
    address: str
    last_hello_at: float
