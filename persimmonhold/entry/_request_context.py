"""The identity of one request at an entry."""

import secrets
from typing import Final, final

from persimmonhold.web import CALLER_HEADER, Exchange

_REQUEST_ID_BYTES: Final = 12


@final
class RequestContext:
    """The exchange of a request, its id and its caller.

    A caller that does not name itself is identified by its host address.
    """

    __slots__ = ('caller', 'exchange', 'request_id')

    def __init__(self, exchange: Exchange) -> None:
        """Create the context of an exchange with a new request id."""
        self.exchange = exchange
        self.request_id = generate_request_id()
        peer_host = exchange.head.peer.rpartition(':')[0]
        self.caller = exchange.head.header(CALLER_HEADER) or peer_host


def generate_request_id() -> str:
    """Return a random id that is unique in practice."""
    return secrets.token_hex(_REQUEST_ID_BYTES)
