"""What serves the requests of a server."""

import abc

from persimmonhold.web._exchange import Exchange
from persimmonhold.web._headers import Headers


class ExchangeHandler(abc.ABC):
    """Serves one exchange of a connection at a time, many on one loop."""

    @abc.abstractmethod
    async def serve(self, exchange: Exchange) -> None:
        """Answer the request; is cancelled when the peer vanishes."""

    def rejection(self, status: int) -> bytes:
        """Return the body sent for a request that cannot be parsed."""
        return b'{}'

    def rejection_headers(self) -> Headers:
        """Return further headers for such a response."""
        return ()
