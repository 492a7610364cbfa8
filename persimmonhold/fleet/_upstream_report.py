"""The state that an upstream with models reports."""

from typing import final

import msgspec

from persimmonhold.fleet._held_model import HeldModel


@final
class UpstreamReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an upstream held a few hundred milliseconds before it reported.

    `born_ms` is the start time of its process, and `accepted_orders` counts
    the orders that this process accepted. `is_busy` tells that a model order
    is in progress. `loading_adapters` are (model, adapter).
    `in_memory` and `on_disk` name models whose weights need no load
    from the weight store.
    """

    born_ms: int
    accepted_orders: int
    is_busy: bool
    models: tuple[HeldModel, ...]
    loading_adapters: tuple[tuple[str, str], ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    is_leaving: bool = False
