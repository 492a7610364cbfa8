"""Orders to load or evict models or adapters, and upstream responses."""

import enum
from typing import final

import msgspec


@final
@enum.unique
class FleetOrderKind(enum.StrEnum):
    """Whether an order loads or evicts a model or adapter."""

    load = 'load'
    evict = 'evict'


@final
@enum.unique
class OrderVerdict(enum.StrEnum):
    """How an upstream responded to an order.

    `accepted`: the order is being executed.
    `holds`: the order had no effect, as the upstream was already in the state
    that it asks for.
    `conflict`: another order is in progress, or the expected count is wrong.
    `unknown_order`: the model or adapter does not exist there.
    `other_process`: another process of the upstream responded.
    `not_sent`: the order was not sent.
    `unanswered`: there was no response; the order may still be executed.
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
    """Loads or evicts a model, or an adapter of a loaded model.

    `expected` is the number of orders that the upstream must have accepted
    before. It refuses any other number, so a delayed order has no effect.
    """

    kind: FleetOrderKind
    model: str
    adapter: str = ''
    expected: int = 0
