"""What serves the requests of a server."""

import abc

from persimmonhold.web._exchange import Exchange
from persimmonhold.web._rejection import Rejection


class ExchangeHandler(abc.ABC):
    """Serves one exchange of a connection at a time, many on one loop."""

    @abc.abstractmethod
    async def serve(self, exchange: Exchange) -> None:
        """Answer the request; is cancelled when the peer vanishes."""

    def build_rejection(self, status: int) -> Rejection:
        """Return the answer to a request that cannot be parsed or served."""
        return Rejection(status=status)
