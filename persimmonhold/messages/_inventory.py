"""What an engine holds."""

from typing import final

import msgspec

from persimmonhold.messages._held_item import HeldItem


@final
class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to `GET /inventory`.

    `boot_id` changes when the engine restarts; `highest_fence` is the
    highest fencing number that it has taken since.
    """

    boot_id: str
    highest_fence: int
    held: tuple[HeldItem, ...] = ()
