"""What an entry knows of one request."""

import secrets
from typing import Final, final

from persimmonhold.web import CALLER, Exchange

_REQUEST_ID_BYTES: Final = 12


@final
class RequestContext:
    """The exchange, its own id and its caller."""

    __slots__ = ('caller', 'exchange', 'request_id')

    def __init__(self, exchange: Exchange) -> None:
        """Create the context of a request with a new id."""
        self.exchange = exchange
        self.request_id = generate_request_id()
        peer_host = exchange.head.peer.rpartition(':')[0]
        self.caller = exchange.head.header(CALLER) or peer_host


def generate_request_id() -> str:
    """Return an id that no other request has."""
    return secrets.token_hex(_REQUEST_ID_BYTES)
