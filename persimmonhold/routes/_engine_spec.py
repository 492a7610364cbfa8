"""The specification of the engines of a service."""

from typing import final

import msgspec

from persimmonhold.routes._model_spec import ModelSpec


@final
class EngineSpec(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Capacity of each engine of a service, and the models it may load.

    `slots` is the number of requests that an engine runs at a time, and
    `adapter_slots` the number of adapters. `weights_mb` bounds weights
    and adapters together. `store_loads_per_s` bounds loads from the weight
    store over all engines of the service. `cache_tokens` is the capacity of
    the key-value cache, and `tokens_per_event` the number of tokens in an event
    of a stream.
    """

    slots: int
    cache_tokens: int
    weights_mb: float
    adapter_slots: int
    store_loads_per_s: float
    tokens_per_event: int = 1
    models: tuple[ModelSpec, ...] = ()

    def find_model(self, name: str) -> ModelSpec | None:
        """Return the model of that name, or None."""
        return next((spec for spec in self.models if spec.name == name), None)
