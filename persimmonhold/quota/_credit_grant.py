"""Credit that the fleet controller has granted to an entry."""

from typing import final

import msgspec


@final
class CreditGrant(msgspec.Struct, kw_only=True):
    """A grant, and how much of it the entry has returned unspent."""

    grant_id: int
    entry: str
    workspace: str
    tokens: float
    granted_at: float
    returned: float = 0.0
