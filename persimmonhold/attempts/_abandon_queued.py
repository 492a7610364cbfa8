"""The action that takes a request back from admission."""

from typing import final

import msgspec


@final
class AbandonQueued(msgspec.Struct, frozen=True):
    """Stop asking for an upstream."""
