"""The state that a replica persists besides its log."""

from typing import final

import msgspec

from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._member import ReplicaId


@final
class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """The identity, term and vote of a replica, and known starts.

    `boots` maps each known replica to the record of its latest start.

    `voted_for` is empty if the replica has not voted in the term. Invariant:
    a change is synced before a message that depends on it is sent.
    """

    replica: ReplicaId
    term: int = 0
    voted_for: ReplicaId = ''
    boots: dict[ReplicaId, Boot] = {}
