"""The sentences in refusals that tell why waiting would not help."""

from types import MappingProxyType
from typing import Final

from persimmonhold.failures import RefusalReason

REFUSAL_DETAILS: Final = MappingProxyType({
    RefusalReason.caller_limit: 'the caller has its agreed number in progress',
    RefusalReason.model_limit: 'the agreed rate or number is reached',
    RefusalReason.owner_limit: 'the owner has its agreed number in progress',
    RefusalReason.class_limit: 'this class has its full number in progress',
    RefusalReason.queue_full: 'the queue of this class is full',
    RefusalReason.no_capacity: 'the queue is longer than the promised time',
    RefusalReason.no_upstream: 'no upstream serves it at the moment',
    RefusalReason.deadline_unreachable: 'it would end after its deadline',
    RefusalReason.deadline_exceeded: 'the deadline has passed',
    RefusalReason.retry_budget_spent: 'an attempt failed; no retry is left',
    RefusalReason.upstream_failed: 'every upstream that serves it failed',
    RefusalReason.outcome_unknown: 'an attempt may have run; it is not retried',
    RefusalReason.unknown_model: 'it has left the catalogue',
    RefusalReason.unknown_service: 'it has left the catalogue',
})
