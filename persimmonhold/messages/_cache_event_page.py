"""A page of prefix cache events of an engine."""

from typing import final

import msgspec

from persimmonhold.messages._cache_event import CacheEvent


@final
class CacheEventPage(msgspec.Struct, frozen=True, kw_only=True):
    """The response to `GET /cache-events?after=N`.

    Events whose sequence numbers are missing from `events` were lost. `last`
    is the highest sequence number that the engine has assigned.
    """

    boot_id: str
    last: int
    events: tuple[CacheEvent, ...] = ()
