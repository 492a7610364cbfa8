"""An order to an upstream with models."""

import enum
from typing import final

import msgspec


@final
@enum.unique
class FleetOrderKind(enum.StrEnum):
    """What an order does with a model or an adapter."""

    load = 'load'
    evict = 'evict'


@final
@enum.unique
class OrderVerdict(enum.StrEnum):
    """What the upstream said of an order.

    `accepted` is being carried out; `holds` changed nothing, since it was so
    already; `conflict` met another order or another count of orders;
    `unknown_order` names something that is not there; `other_process` came
    from another start of the upstream; `unanswered` may be carried out yet.
    """

    accepted = 'accepted'
    holds = 'holds'
    conflict = 'conflict'
    unknown_order = 'unknown_order'
    other_process = 'other_process'
    not_sent = 'not_sent'
    unanswered = 'unanswered'


@final
class FleetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Loads or evicts a model, or an adapter of a model that is held.

    `expected` is the number of orders that the upstream has accepted before:
    another number refuses the order, so a late one changes nothing.
    """

    kind: FleetOrderKind
    model: str
    adapter: str = ''
    expected: int = 0
