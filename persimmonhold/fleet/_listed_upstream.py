"""An upstream in the list of the platform."""

from typing import final

import msgspec

from persimmonhold.fleet._held_model import HeldModel


@final
class ListedUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of the list, which may lag behind the actual state.

    `slots` is how many requests it runs at a time. `born_ms` is the start time
    of its process, or 0 if the list has none. `name` and `born_ms` together
    identify a process, since the name may be kept over a restart. `models` is
    None if the upstream runs no models. `software_version` is not that of the
    weights, and empty if unknown.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    born_ms: int = 0
    models: tuple[HeldModel, ...] | None = None
    software_version: str = ''
