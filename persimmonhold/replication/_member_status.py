"""One member of the group as `status` shows it."""

from typing import final

import msgspec


@final
class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A member; `match_index` and `silence_s` are known to the leader."""

    vm: str
    incarnation: str
    address: str
    is_voter: bool
    match_index: int | None = None
    silence_s: float | None = None
