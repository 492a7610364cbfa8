"""Who is told what admission decides about a request."""

import abc

from persimmonhold.admission import Dispatch
from persimmonhold.failures import Refusal


class DispatchListener(abc.ABC):
    """The request that admission decides about."""

    @abc.abstractmethod
    def handle_dispatch(self, dispatch: Dispatch) -> None:
        """Send the request along the route."""

    @abc.abstractmethod
    def handle_refusal(self, refusal: Refusal) -> None:
        """Refuse the request; admission has forgotten it."""

    @abc.abstractmethod
    def handle_preemption(self) -> None:
        """Stop the attempt and queue again."""
