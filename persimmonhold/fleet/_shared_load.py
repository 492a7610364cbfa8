"""How much of an upstream is in use by the entries."""

from typing import final

import msgspec


@final
class SharedLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests and unread prompt tokens at an upstream, and by model.

    `adapters` are those that requests run with there, each with its model.
    In a report of an entry they are its own; in an update to an entry they
    are those of all the others.
    """

    upstream: str
    running: int
    unread_tokens: int
    models: tuple[tuple[str, int], ...] = ()
    adapters: tuple[tuple[str, str], ...] = ()
