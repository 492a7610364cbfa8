"""An accelerator of an upstream."""

from typing import final

import msgspec


@final
class Accelerator(msgspec.Struct, frozen=True, kw_only=True):
    """One accelerator and the memory that the system may fill."""

    name: str
    memory_bytes: int
