"""Readiness and the directory, in the platform's form."""

from typing import Final, final

from persimmonhold.forwarding import EntryStatus
from persimmonhold.platform import _names as names
from persimmonhold.web import Exchange, ExchangeHandler

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_MAX_ADDRESSES: Final = 64  # the platform reads no more


@final
class ReadyHandler(ExchangeHandler):
    """Answers the platform's checks of an entry."""

    def __init__(self, status: EntryStatus) -> None:
        """Create the handler of an entry."""
        self.status = status

    async def serve(self, exchange: Exchange) -> None:
        """Answer 200 while callers should come here."""
        status = _OK if self.status.is_ready else _UNAVAILABLE
        if exchange.head.path == names.READY_PATH:
            await exchange.respond_json(status, {})
        else:
            await exchange.respond_json(_NOT_FOUND, {})


@final
class DirectoryHandler(ExchangeHandler):
    """Answers callers that ask where to connect."""

    def __init__(self, status: EntryStatus) -> None:
        """Create the handler of an entry."""
        self.status = status

    async def serve(self, exchange: Exchange) -> None:
        """Answer with the entries that serve, the nearest first."""
        if exchange.head.path != names.DIRECTORY_PATH:
            await exchange.respond_json(_NOT_FOUND, {})
            return
        asked = exchange.head.query.get('zone', '')
        answer = self.status.list_entries(asked)
        addresses = [entry.address for entry in answer.entries]
        if not addresses:
            await exchange.respond_json(_UNAVAILABLE, {})
            return
        document = {
            'addresses': addresses[:_MAX_ADDRESSES],
            'ttl-s': answer.ttl_s,
        }
        await exchange.respond_json(_OK, document)
