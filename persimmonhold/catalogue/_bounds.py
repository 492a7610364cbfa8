"""The responsiveness promised for an entry."""

from typing import final

import msgspec


@final
class Bounds(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Promised times in milliseconds."""

    first_token_ms: int = 550
    token_gap_ms: int = 69
    deadline_ms: int = 30_000
