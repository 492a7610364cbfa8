"""The catalogue entry of an adapter."""

from typing import final

import msgspec

from persimmonhold.catalogue._bounds import Bounds
from persimmonhold.catalogue._limits import Limits
from persimmonhold.catalogue._service_class import ServiceClass


@final
class AdapterEntry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='adapter',
    tag_field='kind',
    forbid_unknown_fields=True,
):
    """An adapter that engines load on top of its base model `base`."""

    name: str
    owner: str
    version: str
    base: str
    weight_bytes: int
    service_class: ServiceClass = ServiceClass.interactive
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
