"""The state that an upstream with models reports."""

from typing import final

import msgspec

from persimmonhold.fleet._held_model import HeldModel


@final
class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True):
    """State as of a few hundred milliseconds before the report request.

    `accepted_orders` counts orders since the process started; an order may
    name the count that it expects. `is_busy` tells that a model order is in
    progress. `arriving` names the adapters being loaded, by (model, adapter).
    `in_memory` and `on_disk` name models that load faster than from the store.
    """

    born_ms: int
    accepted_orders: int
    is_busy: bool
    models: tuple[HeldModel, ...]
    loading_adapters: tuple[tuple[str, str], ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    is_leaving: bool = False
