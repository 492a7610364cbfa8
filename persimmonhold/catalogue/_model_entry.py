"""The catalogue entry of a model."""

from typing import final

import msgspec

from persimmonhold.catalogue._bounds import Bounds
from persimmonhold.catalogue._limits import Limits
from persimmonhold.catalogue._service_class import ServiceClass


@final
class ModelEntry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='model',
    tag_field='kind',
    forbid_unknown_fields=True,
):
    """A base model that engines load into accelerator memory.

    `kv_floor_bytes` is memory that each copy needs for its KV cache, besides
    the weights.
    """

    name: str
    owner: str
    version: str
    weight_bytes: int
    kv_floor_bytes: int
    service_class: ServiceClass = ServiceClass.interactive
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
