"""Stand-in of the platform's list of upstreams."""

from typing import Any, final

from persimmonhold.web import Exchange, ExchangeHandler


@final
class PlatformList(ExchangeHandler):
    """Serves the platform's list of upstreams."""

    def __init__(self) -> None:
        """Create an empty list."""
        self.entries: list[dict[str, Any]] = []

    async def serve(self, exchange: Exchange) -> None:
        """Answer with one page that also has an undecodable entry."""
        unreadable = {'id': 7, 'state': 'odd'}
        document = {
            'instances': [*self.entries, unreadable],
            'next-token': None,
        }
        await exchange.respond_json(200, document)
