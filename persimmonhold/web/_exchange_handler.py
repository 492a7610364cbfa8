"""Interface of a handler of the requests of an HTTP server."""

import abc

from persimmonhold.web._exchange import Exchange
from persimmonhold.web._rejection import Rejection


class ExchangeHandler(abc.ABC):
    """Serves the exchanges of all connections of a server on one event loop.

    Exchanges of one connection follow each other; those of different
    connections run concurrently.
    """

    @abc.abstractmethod
    async def serve(self, exchange: Exchange) -> None:
        """Respond to the request; cancelled when the peer disconnects."""

    def build_rejection(self, status: int) -> Rejection:
        """Return the response to a request that cannot be parsed or served."""
        return Rejection(status=status)
