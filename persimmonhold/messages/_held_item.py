"""Something that an accelerator holds."""

from typing import final

import msgspec

from persimmonhold.messages._residency import Residency


@final
class HeldItem(msgspec.Struct, frozen=True, kw_only=True):
    """A model or adapter version in the memory of one accelerator."""

    accelerator: str
    target: str
    version: str
    memory_bytes: int
    residency: Residency
    fence: int
