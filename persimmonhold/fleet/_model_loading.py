"""Models that nobody serves while their first copy is being loaded."""

import math
from collections.abc import Iterable
from typing import final

import msgspec

from persimmonhold.fleet._upstream_ledger import UpstreamLedger


@final
class ModelLoading(msgspec.Struct, frozen=True, array_like=True):
    """A model without a serving copy, and the seconds until it has one."""

    model: str
    ready_in_s: float


def find_loading_models(
    ledgers: Iterable[UpstreamLedger], now: float
) -> tuple[ModelLoading, ...]:
    """Return the models that only upstreams that are loading them have.

    Loads whose end is not predicted are left out.
    """
    served: set[str] = set()
    ready_at: dict[str, float] = {}
    for ledger in ledgers:
        served.update(
            model
            for model in ledger.held
            if model not in {ledger.loading, ledger.evicting}
            and model not in ledger.retiring
        )
        if ledger.loading:
            ready_at[ledger.loading] = min(
                ledger.expected_done_at,
                ready_at.get(ledger.loading, math.inf),
            )
    return tuple(
        ModelLoading(model, max(0, at - now))
        for model, at in ready_at.items()
        if model not in served and math.isfinite(at)
    )
