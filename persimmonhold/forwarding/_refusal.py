"""Status and headers of the refusals of an entry."""

from types import MappingProxyType
from typing import Final

from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.routes import UNKNOWN_KEY
from persimmonhold.web import Headers

_UNAUTHORIZED: Final = 401
_TOO_MANY_REQUESTS: Final = 429
_UNAVAILABLE: Final = 503
QUOTA_SPENT: Final = 'quota'  # a workspace has no credit left
# Reasons whose refusals have a status other than 503.
_STATUSES: Final = MappingProxyType({
    QUOTA_SPENT: _TOO_MANY_REQUESTS,
    UNKNOWN_KEY: _UNAUTHORIZED,
})


def find_refusal_status(reason: str) -> int:
    """Return the status of a refusal for a reason, of what did not run."""
    return _STATUSES.get(reason, _UNAVAILABLE)


def build_refusal_headers(
    dialect: Dialect, status: int, retry_after_s: float | None
) -> Headers:
    """Return the headers of a refusal; one for the key suggests no retry."""
    if status == _UNAUTHORIZED:
        return dialect.build_challenge_headers()
    return dialect.build_refusal_headers(retry_after_s)
