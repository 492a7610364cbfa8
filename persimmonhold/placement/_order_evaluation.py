"""The result of evaluating an order against an inventory."""

from typing import NamedTuple, final

from persimmonhold.messages import OrderOutcome


@final
class OrderEvaluation(NamedTuple):
    """The outcome of an order, and what the inventory shows of its copy.

    If `outcome` is None, the order stays outstanding, also if `is_copy_ready`:
    the loaded copy is ready to serve. `is_copy_gone` is set for a completed
    unload.
    """

    outcome: OrderOutcome | None
    is_copy_ready: bool = False
    is_copy_gone: bool = False
