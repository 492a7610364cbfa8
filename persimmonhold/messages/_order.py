"""An order to an engine."""

from typing import final

import msgspec

from persimmonhold.messages._order_kind import OrderKind


@final
class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order; `fence` is the log index of its committed intent.

    `memory_bytes` is all that the order may leave on the accelerator:
    weights and KV floor of a model, weights of an adapter, the buffer of an
    import. A resend carries the same fence.
    """

    fence: int
    kind: OrderKind
    upstream: str
    accelerator: str
    target: str
    version: str
    memory_bytes: int
    base: str = ''
