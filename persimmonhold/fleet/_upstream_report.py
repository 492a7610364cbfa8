"""What an upstream with models says of itself."""

from typing import final

import msgspec

from persimmonhold.fleet._held_model import HeldModel


@final
class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True):
    """State as of some hundred milliseconds before it was asked for.

    `accepted_orders` counts the orders since the start of the process; an
    order may name the count that it expects. `is_busy` tells that the order
    of a model is being carried out. `arriving` names the adapters on their
    way, by (model, adapter).
    """

    born_ms: int
    accepted_orders: int
    is_busy: bool
    models: tuple[HeldModel, ...]
    arriving: tuple[tuple[str, str], ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    is_leaving: bool = False
