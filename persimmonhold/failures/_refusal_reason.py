"""The reasons for which a request is refused."""

import enum
from typing import final


@final
@enum.unique
class RefusalReason(enum.StrEnum):
    """Reason in a problem document; refusals are counted by reason."""

    malformed_request = 'malformed_request'
    unknown_path = 'unknown_path'
    unknown_model = 'unknown_model'
    unknown_service = 'unknown_service'
    idempotency_key_conflict = 'idempotency_key_conflict'
    head_too_large = 'head_too_large'
    body_too_large = 'body_too_large'
    caller_limit = 'caller_limit'
    class_limit = 'class_limit'
    model_limit = 'model_limit'
    owner_limit = 'owner_limit'
    upstream_failed = 'upstream_failed'
    outcome_unknown = 'outcome_unknown'
    no_capacity = 'no_capacity'
    no_upstream = 'no_upstream'
    queue_full = 'queue_full'
    retry_budget_spent = 'retry_budget_spent'
    isolated = 'isolated'
    no_quorum = 'no_quorum'
    draining = 'draining'
    deadline_unreachable = 'deadline_unreachable'
    deadline_exceeded = 'deadline_exceeded'
