"""An upstream as the list of the platform shows it."""

from typing import final

import msgspec

from persimmonhold.fleet._held_model import HeldModel


@final
class ListedUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the list; the list lags.

    `name` identifies one start of the process, together with `born_ms` where
    a process keeps its name over a restart. `models` is None for an upstream
    that runs none.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[HeldModel, ...] | None = None
