"""An accelerator of a model engine."""

from typing import final

import msgspec


@final
class Accelerator(msgspec.Struct, frozen=True, kw_only=True):
    """An accelerator; copies may occupy `memory_bytes` of its memory."""

    name: str
    memory_bytes: int
