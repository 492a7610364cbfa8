"""Interface by which an attempt asks whether to go on."""

import abc


class AttemptMonitor(abc.ABC):
    """Decides for each attempt of a request whether it goes on.

    Attempts are identified by the number under which they were dispatched.
    """

    @abc.abstractmethod
    def handle_pause(self, number: int) -> bool:
        """Handle that the response of an attempt pauses.

        It is called again at intervals for as long as it does. Returns whether
        the attempt is to be given up.
        """

    @abc.abstractmethod
    def claim_response(self, number: int) -> None:
        """Make an attempt the only one, as its response goes on."""
