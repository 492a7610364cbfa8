"""The interface that receives admission's decisions on a request."""

import abc

from persimmonhold.admission import Dispatch
from persimmonhold.failures import Refusal


class DispatchListener(abc.ABC):
    """Receives the decisions of admission on one request."""

    @abc.abstractmethod
    def handle_dispatch(self, dispatch: Dispatch) -> None:
        """Send the request to the upstream that `dispatch` names."""

    @abc.abstractmethod
    def handle_refusal(self, refusal: Refusal) -> None:
        """Send the refusal to the caller; admission has removed the request."""

    @abc.abstractmethod
    def handle_preemption(self) -> None:
        """Stop the current attempt and queue the request again."""
