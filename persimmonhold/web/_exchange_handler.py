"""Interface of a handler of the requests of an HTTP server."""

import abc

from persimmonhold.web._exchange import Exchange
from persimmonhold.web._rejection import Rejection


class ExchangeHandler(abc.ABC):
    """Serves one exchange per connection at a time, concurrently on a loop."""

    @abc.abstractmethod
    async def serve(self, exchange: Exchange) -> None:
        """Serve the request; cancelled when the peer disconnects."""

    def build_rejection(self, status: int) -> Rejection:
        """Return the response to a request that cannot be parsed or served."""
        return Rejection(status=status)
