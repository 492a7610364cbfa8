"""What the choice of a membership change rests on."""

from typing import final

import msgspec

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._spare import Spare


@final
class GroupHealth(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's view of the members; times in seconds."""

    leader: ReplicaId
    configuration: Configuration
    target_voters: int
    silence_s: dict[ReplicaId, float]
    caught_up: frozenset[ReplicaId]
    spares: tuple[Spare, ...]
    live_within_s: float
    replacement_timeout_s: float
