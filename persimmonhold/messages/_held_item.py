"""An item held in accelerator memory."""

from typing import final

import msgspec

from persimmonhold.messages._residency import Residency


@final
class HeldItem(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a model or adapter in the memory of an accelerator.

    `fence` is the fencing token of the order that loaded it.
    """

    accelerator: str
    target: str
    version: str
    memory_bytes: int
    residency: Residency
    fence: int
