"""The outcome of a planned request."""

from typing import final

import msgspec

from persimmonhold.load._planned_request import PlannedRequest


@final
class RequestOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller received for a planned request; times are in seconds.

    The first-token and total times count from when the request was due.
    `reason` and `ran` (whether it was executed) come from the last refusal;
    `ran` is `unknown` after a lost connection. `fault` describes why there is
    no complete response or why the response belongs to another request.
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
    token_count: int = 0
    is_complete: bool = False
