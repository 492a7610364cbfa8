"""The load that entries put on an upstream."""

from typing import final

import msgspec


@final
class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Running requests and unread prompt tokens at an upstream.

    `models` counts requests by model. `adapters` are those of running
    requests, by (model, adapter). A report of an entry has its own load; an
    update to an entry has the load of all other entries.
    """

    upstream: str
    running: int
    unread_tokens: int
    models: tuple[tuple[str, int], ...] = ()
    adapters: tuple[tuple[str, str], ...] = ()
