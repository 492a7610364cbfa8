"""A refused request, reported to the caller as a problem document."""

from types import MappingProxyType
from typing import Final, final

import msgspec

from persimmonhold.failures._ran import Ran
from persimmonhold.failures._refusal_reason import RefusalReason

_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_TOO_LARGE: Final = 413
_TOO_MANY_REQUESTS: Final = 429
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504

REFUSAL_STATUS: Final = MappingProxyType({
    RefusalReason.malformed_request: _BAD_REQUEST,
    RefusalReason.unknown_path: _NOT_FOUND,
    RefusalReason.unknown_model: _NOT_FOUND,
    RefusalReason.unknown_service: _NOT_FOUND,
    RefusalReason.idempotency_key_conflict: _CONFLICT,
    RefusalReason.head_too_large: _TOO_LARGE,
    RefusalReason.body_too_large: _TOO_LARGE,
    RefusalReason.caller_limit: _TOO_MANY_REQUESTS,
    RefusalReason.class_limit: _TOO_MANY_REQUESTS,
    RefusalReason.model_limit: _TOO_MANY_REQUESTS,
    RefusalReason.owner_limit: _TOO_MANY_REQUESTS,
    RefusalReason.upstream_failed: _BAD_GATEWAY,
    RefusalReason.outcome_unknown: _BAD_GATEWAY,
    RefusalReason.no_capacity: _UNAVAILABLE,
    RefusalReason.no_upstream: _UNAVAILABLE,
    RefusalReason.queue_full: _UNAVAILABLE,
    RefusalReason.retry_budget_spent: _UNAVAILABLE,
    RefusalReason.isolated: _UNAVAILABLE,
    RefusalReason.no_quorum: _UNAVAILABLE,
    RefusalReason.draining: _UNAVAILABLE,
    RefusalReason.deadline_unreachable: _GATEWAY_TIMEOUT,
    RefusalReason.deadline_exceeded: _GATEWAY_TIMEOUT,
})


@final
class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a caller's request was refused, whether it ran, when to retry."""

    reason: RefusalReason
    ran: Ran
    detail: str = ''
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status code for the reason."""
        return REFUSAL_STATUS[self.reason]
