"""The command that ends the claim of a request."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class EndClaim(msgspec.Struct, frozen=True, kw_only=True, tag='end_claim'):
    """Records the outcome of a claimed request, or releases the claim.

    A claim is released (`outcome` is None) only if the request certainly did
    not run. If the outcome stays unknown, the claim is marked `in_doubt`.
    """

    at_ms: int
    claim: int
    request_id: str
    outcome: CallOutcome | None = None
    in_doubt: bool = False
