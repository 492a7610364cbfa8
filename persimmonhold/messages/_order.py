"""An order to an engine."""

from typing import final

import msgspec

from persimmonhold.messages._order_kind import OrderKind


@final
class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine; `fence` is its fencing token.

    The fencing token is the log index of the committed intent; a resend
    carries the same one. `memory_bytes` is the most accelerator memory that
    the order may occupy: weights and KV floor of a model, weights of an
    adapter, the buffer of an import.
    """

    fence: int
    kind: OrderKind
    upstream: str
    accelerator: str
    target: str
    version: str
    memory_bytes: int
    base: str = ''
