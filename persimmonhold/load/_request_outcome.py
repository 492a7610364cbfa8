"""What became of a planned request."""

from typing import final

import msgspec

from persimmonhold.load._planned_request import PlannedRequest


@final
class RequestOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Times in seconds from the planned sending, and what was told.

    `reason` and `ran` are those of the last refusal; `fault` says how an
    answer was not the whole answer to its own request.
    """

    planned: PlannedRequest
    status: int = 0
    reason: str = ''
    ran: str = ''
    fault: str = ''
    send_count: int = 0
    first_token_s: float = 0
    worst_gap_s: float = 0
    gap_p95_s: float = 0
    total_s: float = 0
    tokens: int = 0
    is_complete: bool = False
