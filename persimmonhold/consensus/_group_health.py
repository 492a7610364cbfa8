"""The state of a group from which its leader chooses membership changes."""

from typing import final

import msgspec

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._member import ReplicaId
from persimmonhold.consensus._spare import Spare


@final
class GroupHealth(msgspec.Struct, frozen=True, kw_only=True):
    """What the leader knows about the liveness and progress of members.

    `silence_s` is the time since the last reply of each member. A member is
    live while that is below `live_within_s`, and is replaced once it reaches
    `replacement_timeout_s`. `caught_up` are the members that have everything
    committed when the previous heartbeat round began, and `spares` are the
    replicas that recently asked to join, before `now`. `waiting_since` is the
    time since which spares, and learners that were spares, have been known.
    """

    now: float
    leader: ReplicaId
    configuration: Configuration
    target_voters: int
    silence_s: dict[ReplicaId, float]
    caught_up: frozenset[ReplicaId]
    spares: tuple[Spare, ...]
    waiting_since: dict[ReplicaId, float]
    live_within_s: float
    replacement_timeout_s: float
