"""How much of an upstream is in use by the entries."""

from typing import final

import msgspec


@final
class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests and prompt tokens at an upstream, and requests by model.

    `unread_tokens` are of prompts that are not read yet; `recent_tokens` were
    sent within a while (see `UpstreamUse.recent_tokens`); `adapters` are those
    that run there, each with its model. In a report of an entry they are its own; in an update to an entry they
    are those of all the others.
    """

    upstream: str
    running: int
    unread_tokens: int
    models: tuple[tuple[str, int], ...] = ()
    recent_tokens: int = 0
    adapters: tuple[tuple[str, str], ...] = ()
