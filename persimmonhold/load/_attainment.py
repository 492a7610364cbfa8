"""Decides whether a request met the bounds of its kind."""

from persimmonhold.catalogue import Bounds
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome

_MS_PER_S = 1000


def is_attained(outcome: RequestOutcome, bounds: Bounds) -> bool:
    """Return whether a request met every bound of its kind.

    The bounds of a stream are the first-token time and the 95th percentile of
    the token gaps; the bound of other kinds is their time limit. A request
    without a complete response has not met its bounds.
    """
    if not outcome.is_complete:
        return False
    if outcome.planned.kind is RequestKind.stream:
        in_time = outcome.first_token_s * _MS_PER_S <= bounds.first_token_ms
        gap_ms = outcome.gap_p95_s * _MS_PER_S
        return in_time and gap_ms <= bounds.token_gap_ms
    return outcome.total_s <= outcome.planned.time_limit_s
