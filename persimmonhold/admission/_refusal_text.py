"""The human-readable details of refusals by reason."""

from types import MappingProxyType
from typing import Final

from persimmonhold.failures import RefusalReason

REFUSAL_DETAILS: Final = MappingProxyType({
    RefusalReason.caller_limit: 'the caller has reached its concurrency limit',
    RefusalReason.model_limit: 'the target is at its rate or concurrency limit',
    RefusalReason.owner_limit: 'the owner has reached its concurrency limit',
    RefusalReason.class_limit: 'the service class has reached its limit',
    RefusalReason.queue_full: 'the queue of the service class is full',
    RefusalReason.no_capacity: 'no capacity within the first-token bound',
    RefusalReason.no_upstream: 'no upstream currently serves the target',
    RefusalReason.deadline_unreachable: 'it would end after its deadline',
    RefusalReason.deadline_exceeded: 'the deadline has passed',
    RefusalReason.retry_budget_spent: 'attempt failed; retry budget spent',
    RefusalReason.upstream_failed: 'every upstream of the target failed',
    RefusalReason.outcome_unknown: 'not retried: an attempt may have run',
    RefusalReason.draining: 'the entry is stopping',
    RefusalReason.unknown_model: 'the target is no longer in the catalogue',
    RefusalReason.unknown_service: 'the service is no longer in the catalogue',
})
