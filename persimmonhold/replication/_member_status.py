"""The status of one member of a consensus group."""

from typing import final

import msgspec


@final
class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the group, as seen by one replica.

    Only the leader knows `match_index`, the last index that the member
    acknowledged as synced, and `silence_s`, the time since its last reply.
    """

    vm: str
    incarnation: str
    address: str
    is_voter: bool
    match_index: int | None = None
    silence_s: float | None = None
