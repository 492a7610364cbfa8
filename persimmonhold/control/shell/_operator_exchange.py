"""One HTTP request of an operator and the response to it."""

from typing import Any, final

import msgspec

from persimmonhold.control.shell._operator_refusal import (
    REFUSAL_HTTP_STATUS,
    OperatorRefusal,
)
from persimmonhold.observability import Metrics, metric
from persimmonhold.web import (
    COMMAND_ID_HEADER,
    IF_MATCH_HEADER,
    OPERATOR_HEADER,
    Exchange,
)


@final
class OperatorExchange:
    """Checks the request headers of an operator and sends the response."""

    __slots__ = ('_metrics', 'exchange')

    def __init__(self, exchange: Exchange, metrics: Metrics) -> None:
        """Wrap an exchange; refusals are counted in `metrics`."""
        self.exchange = exchange
        self._metrics = metrics

    @property
    def method(self) -> str:
        """The method of the request."""
        return self.exchange.head.method

    def header(self, name: str) -> str:
        """Return a request header, or an empty string if it is absent."""
        return self.exchange.head.header(name)

    def find_header_error(self, *, needs_revision: bool) -> str:
        """Describe the first missing or malformed header of a change.

        Returns an empty string if there is none.
        """
        for header in (OPERATOR_HEADER, COMMAND_ID_HEADER):
            if not self.header(header).strip():
                return f'header {header} is missing'
        if needs_revision and self.expected_revision() is None:
            return (
                'header if-match must be the revision of the entry in double'
                ' quotes; "0" creates a new entry'
            )
        return ''

    def expected_revision(self) -> int | None:
        """Return the revision in `If-Match`; None if absent or malformed."""
        text = self.header(IF_MATCH_HEADER).strip()
        digits = text.removeprefix('"').removesuffix('"')
        return int(digits) if digits.isascii() and digits.isdigit() else None

    async def respond(self, document: object, status: int = 200) -> None:
        """Respond with a JSON document."""
        await self.exchange.respond_json(status, document)

    async def refuse(
        self,
        reason: OperatorRefusal,
        detail: str = '',
        **fields: object,
    ) -> None:
        """Respond with a problem document; count the refusal by its reason."""
        self.count_outcome(reason)
        status = REFUSAL_HTTP_STATUS[reason]
        document: dict[str, Any] = {
            'type': 'about:blank',
            'title': reason.value.replace('_', ' '),
            'status': status,
            'reason': reason.value,
            'detail': detail,
            **fields,
        }
        body = msgspec.json.encode(document)
        await self.exchange.respond(status, body, 'application/problem+json')

    def count_outcome(self, outcome: str) -> None:
        """Count the outcome of an operator command in the metrics."""
        self._metrics.increment(metric.COMMANDS, outcome=outcome)
