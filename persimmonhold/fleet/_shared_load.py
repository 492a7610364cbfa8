"""The load that entries put on an upstream."""

from typing import final

import msgspec


@final
class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that one or several entries put on an upstream.

    `running` counts running requests, and `unread_tokens` their prompt tokens
    that the upstream has not read. `models` counts running requests by model,
    `adapters` has the (model, adapter) in use. A report by an entry states its
    own load; an update to an entry states the sum of all other entries.
    """

    upstream: str
    running: int
    unread_tokens: int
    models: tuple[tuple[str, int], ...] = ()
    adapters: tuple[tuple[str, str], ...] = ()
