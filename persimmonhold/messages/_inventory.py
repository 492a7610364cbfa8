"""The inventory of an engine."""

from typing import final

import msgspec

from persimmonhold.messages._held_item import HeldItem


@final
class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """The response of an engine to `GET /inventory`.

    `boot_id` changes when the engine restarts; `highest_fence` is the
    highest fencing token that it has accepted since the restart.
    """

    boot_id: str
    highest_fence: int
    held: tuple[HeldItem, ...] = ()
