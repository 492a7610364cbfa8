"""The status of one member of a consensus group."""

from typing import final

import msgspec


@final
class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A member; only the leader knows `match_index` and `silence_s`."""

    vm: str
    incarnation: str
    address: str
    is_voter: bool
    match_index: int | None = None
    silence_s: float | None = None
