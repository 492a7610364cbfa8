"""Handlers of readiness checks and of the directory of entries."""

import random
from typing import Final, final

from persimmonhold.directory import sample_addresses
from persimmonhold.forwarding import EntryStatus
from persimmonhold.platform import _names as names
from persimmonhold.web import Exchange, ExchangeHandler

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_MAX_ADDRESSES: Final = 64  # the platform reads at most 64


@final
class ReadyHandler(ExchangeHandler):
    """Answers the platform's readiness checks of an entry."""

    def __init__(self, status: EntryStatus) -> None:
        """Create the handler of an entry."""
        self.status = status

    async def serve(self, exchange: Exchange) -> None:
        """Answer 200 while callers should use this entry, 503 otherwise."""
        status = _OK if self.status.is_ready else _UNAVAILABLE
        if exchange.head.path == names.READY_PATH:
            await exchange.respond_json(status, {})
        else:
            await exchange.respond_json(_NOT_FOUND, {})


@final
class DirectoryHandler(ExchangeHandler):
    """Answers callers that look up the addresses of entries."""

    def __init__(self, status: EntryStatus) -> None:
        """Create the handler of an entry."""
        self.rng = random.Random()
        self.status = status

    async def serve(self, exchange: Exchange) -> None:
        """Return the serving entries, nearest first, and their time to live."""
        if exchange.head.path != names.DIRECTORY_PATH:
            await exchange.respond_json(_NOT_FOUND, {})
            return
        failure_domain = exchange.head.query.get('zone', '')
        response = self.status.list_entries(failure_domain)
        addresses = sample_addresses(response.entries, _MAX_ADDRESSES, self.rng)
        if not addresses:
            await exchange.respond_json(_UNAVAILABLE, {})
            return
        document = {
            'addresses': addresses,
            'ttl-s': response.ttl_s,
        }
        await exchange.respond_json(_OK, document)
