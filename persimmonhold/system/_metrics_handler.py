"""Serves the metrics of a VM."""

from typing import Final, final

from persimmonhold.observability import Metrics
from persimmonhold.web import Exchange, ExchangeHandler

_OK: Final = 200
_NOT_FOUND: Final = 404
_PATH: Final = '/metrics'


@final
class MetricsHandler(ExchangeHandler):
    """Serves the path `/metrics` and answers 404 for all others."""

    def __init__(self, metrics: Metrics) -> None:
        """Create a handler that serves `metrics`."""
        self.metrics = metrics

    async def serve(self, exchange: Exchange) -> None:
        """Respond with the metrics in a format that the client accepts."""
        if exchange.head.path == _PATH:
            accepts = exchange.head.header('accept')
            body, media_type = self.metrics.render(accepts)
            await exchange.respond(_OK, body, media_type)
        else:
            await exchange.respond_json(_NOT_FOUND, {})
