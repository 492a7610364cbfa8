"""A page of an engine's prefix cache events."""

from typing import final

import msgspec

from persimmonhold.messages._cache_event import CacheEvent


@final
class CacheEventPage(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to `GET /cache-events?after=N`.

    Sequence numbers that are absent from `events` were lost. `last` is the
    highest number that the engine has given out.
    """

    boot_id: str
    last: int
    events: tuple[CacheEvent, ...] = ()
