"""Messages between entries and the fleet controller.

Any message may be lost, delayed or duplicated. An update carries all facts
changed since the number that the entry last confirmed, so the next update
makes up for a lost one.
"""

from typing import TypeAlias, final

import msgspec

from persimmonhold.fleet._model_demand import ModelDemand
from persimmonhold.fleet._model_waiting import ModelWaiting
from persimmonhold.fleet._shared_load import SharedLoad
from persimmonhold.fleet._upstream_facts import UpstreamFacts


@final
class FleetUpdate(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='update',
    array_like=True,
):
    """Tells an entry which facts about upstreams have changed.

    Covers the changes after change number `base`, up to `number`. If `base` is
    0, the facts are complete. `term` is the leadership term of the controller,
    in which `sequence` increases with each update. `gone` names the upstreams
    that left the list. `others` is the load of the other entries, and
    `waiting` has the models that requests wait for there. `list_age_s`
    is the age of the latest upstream list. `orders_in_s` is how long a new
    fleet controller still waits before it issues orders.
    """

    term: int
    sequence: int
    base: int
    number: int
    list_age_s: float
    facts: tuple[UpstreamFacts, ...] = ()
    gone: tuple[str, ...] = ()
    others: tuple[SharedLoad, ...] = ()
    orders_in_s: float = 0
    waiting: tuple[ModelWaiting, ...] = ()


@final
class EntryReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='entry',
    array_like=True,
):
    """Tells the fleet controller the load and demand of one entry.

    `term` and `number` confirm the last update that the entry applied.
    `sequence` increases with each report.
    """

    term: int
    number: int
    sequence: int
    loads: tuple[SharedLoad, ...] = ()
    demand: tuple[ModelDemand, ...] = ()


@final
class AdapterLoadRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='adapter',
    array_like=True,
):
    """Asks the fleet controller to load an adapter at an upstream.

    A retransmission keeps the `request_id`.
    """

    request_id: int
    service: str
    upstream: str
    model: str
    adapter: str


@final
class AdapterLoadReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='adapter_reply',
    array_like=True,
):
    """Tells an entry that an adapter is loaded, or why its load failed."""

    request_id: int
    is_ready: bool
    reason: str = ''


FleetMessage: TypeAlias = (
    FleetUpdate | EntryReport | AdapterLoadRequest | AdapterLoadReply
)
