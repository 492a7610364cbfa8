"""What an observation says about an order."""

from typing import NamedTuple, final

from persimmonhold.messages import OrderOutcome


@final
class OrderEvaluation(NamedTuple):
    """How an order ended and what became of its copy.

    Without an outcome the order stays outstanding, although its copy may
    already serve.
    """

    outcome: OrderOutcome | None
    is_ready: bool = False
    is_gone: bool = False
