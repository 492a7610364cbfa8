"""The action that withdraws a request from admission."""

from typing import final

import msgspec


@final
class AbandonQueued(msgspec.Struct, frozen=True):
    """Remove the request from the queue of admission."""
