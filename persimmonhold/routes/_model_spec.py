"""A model that an engine may hold."""

from typing import final

import msgspec


@final
class ModelSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Sizes in megabytes, load times in seconds by where the weights lie.

    Adapters are named a1, a2 and so on.
    """

    name: str
    weights_mb: float
    store_load_s: float
    disk_load_s: float = 0.0
    memory_load_s: float = 0.0
    adapters: int = 0
    adapter_mb: float = 0.0
