"""The result of evaluating an order against an inventory."""

from typing import NamedTuple, final

from persimmonhold.messages import OrderOutcome


@final
class OrderEvaluation(NamedTuple):
    """The outcome of an order and the state of its copy.

    If `outcome` is None, the order stays outstanding even if its copy is
    ready.
    """

    outcome: OrderOutcome | None
    is_copy_ready: bool = False
    is_copy_gone: bool = False
