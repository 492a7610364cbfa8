"""The idempotency key of one request."""

import asyncio
from typing import final

from returns.result import Result

from persimmonhold.attempts import EndKeyClaim
from persimmonhold.control.machine import CommandResult, EndClaim
from persimmonhold.entry._claim_settler import wall_clock_ms
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.failures import Failure


@final
class KeyClaim:
    """Claims the key and ends the claim."""

    __slots__ = ('_request', '_services')

    def __init__(self, services: EntryServices, request: ParsedRequest) -> None:
        """Create the claim of a request; nothing is claimed yet."""
        self._services = services
        self._request = request

    async def claim(self) -> Result[CommandResult, Failure]:
        """Commit the claim."""
        services = self._services
        claim = self._request.build_claim(services.vm, services.incarnation)
        return await services.link.claim(claim)

    def release(self) -> None:
        """Release the claim if it was committed without an answer."""
        services = self._services
        claim = self._request.build_claim(services.vm, services.incarnation)
        services.settler.release(claim)

    def end(
        self, claim_index: int, action: EndKeyClaim
    ) -> asyncio.Task[None] | None:
        """Start to commit the end of the granted claim."""
        end = EndClaim(
            at_ms=wall_clock_ms(),
            claim=claim_index,
            request_id=self._request.admission_request.request_id,
            outcome=action.outcome,
            in_doubt=action.is_in_doubt,
        )
        return self._services.settler.settle(end)
