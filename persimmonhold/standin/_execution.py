"""The record of a call that a stand-in service executed."""

from typing import final

import msgspec


@final
class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One execution of a call; `key` is its idempotency key or empty."""

    request_id: str
    key: str
    path: str
