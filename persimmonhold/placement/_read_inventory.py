"""The action that reads the inventory of an engine."""

from typing import final

import msgspec


@final
class ReadInventory(msgspec.Struct, frozen=True):
    """Read the held items and highest fencing token of an engine."""

    upstream: str
