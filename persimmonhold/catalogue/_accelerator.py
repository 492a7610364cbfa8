"""An accelerator of a model engine."""

from typing import final

import msgspec


@final
class Accelerator(msgspec.Struct, frozen=True, kw_only=True):
    """An accelerator and the part of its memory that may hold copies."""

    name: str
    memory_bytes: int
