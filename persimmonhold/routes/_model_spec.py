"""The specification of a model that an engine may load."""

from typing import final

import msgspec


@final
class ModelSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Sizes of a model, and load times by the location of its weights.

    `adapters` is the number of adapters, which are named a1, a2 and so on, and
    `adapter_mb` the size of each. A load time of 0 from disk or memory means
    that such loads are not configured.
    """

    name: str
    weights_mb: float
    store_load_s: float
    disk_load_s: float = 0.0
    memory_load_s: float = 0.0
    adapters: int = 0
    adapter_mb: float = 0.0
