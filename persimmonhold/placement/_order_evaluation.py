"""The result of evaluating an order against an inventory."""

from typing import NamedTuple, final

from persimmonhold.messages import OrderOutcome


@final
class OrderEvaluation(NamedTuple):
    """The outcome of an order, and what the inventory shows of its copy.

    If `outcome` is None, the order stays outstanding even if its copy is
    ready. `is_copy_gone` is set for a completed unload.
    """

    outcome: OrderOutcome | None
    is_copy_ready: bool = False
    is_copy_gone: bool = False
