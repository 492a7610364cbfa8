"""The claim of the idempotency key of one request."""

import asyncio
from typing import final

from returns.result import Result

from persimmonhold.attempts import EndKeyClaim
from persimmonhold.control.machine import CommandResult, EndClaim
from persimmonhold.entry._claim_end_committer import wall_clock_ms
from persimmonhold.entry._entry_services import EntryServices
from persimmonhold.entry._parsed_request import ParsedRequest
from persimmonhold.failures import Failure


@final
class KeyClaim:
    """Claims the idempotency key and ends or releases the claim."""

    __slots__ = ('_request', '_services')

    def __init__(self, services: EntryServices, request: ParsedRequest) -> None:
        """Prepare the claim without proposing it."""
        self._services = services
        self._request = request

    async def propose_claim(self) -> Result[CommandResult, Failure]:
        """Propose the claim and return the committed result."""
        services = self._services
        claim = self._request.build_claim_command(
            services.vm_name, services.incarnation
        )
        return await services.link.claim_key(claim)

    def start_release(self) -> None:
        """Start releasing the claim, which may be committed without a reply."""
        services = self._services
        claim = self._request.build_claim_command(
            services.vm_name, services.incarnation
        )
        services.claim_committer.start_release(claim)

    def start_end_commit(
        self, claim_index: int, action: EndKeyClaim
    ) -> asyncio.Task[None] | None:
        """Start committing the end of the granted claim.

        Returns None if too many claims are pending.
        """
        end = EndClaim(
            at_ms=wall_clock_ms(),
            claim=claim_index,
            request_id=self._request.admission_request.request_id,
            outcome=action.outcome,
            in_doubt=action.is_in_doubt,
        )
        return self._services.claim_committer.start_end_commit(end)
