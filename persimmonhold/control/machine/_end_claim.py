"""The command that records the outcome of a claimed request."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class EndClaim(msgspec.Struct, frozen=True, kw_only=True, tag='end_claim'):
    """Records an outcome; None releases a claim that certainly never ran.

    An outcome that stays unknown is recorded as in doubt.
    """

    at_ms: int
    claim: int
    request_id: str
    outcome: CallOutcome | None = None
    in_doubt: bool = False
