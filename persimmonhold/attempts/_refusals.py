"""The refusals that the request state machine creates."""

from types import MappingProxyType
from typing import Final

import msgspec

from persimmonhold.attempts._attempt_fault import AttemptFault
from persimmonhold.control.machine import CommandStatus
from persimmonhold.failures import Ran, Refusal, RefusalReason

# Suggested delay of a retry by the caller.
RETRY_AFTER_S: Final = 1.0
_STOPPING_DETAIL: Final = 'the entry is stopping'
_CLAIM_REFUSAL_REASONS: Final = MappingProxyType({
    CommandStatus.claim_table_full: RefusalReason.no_capacity,
    CommandStatus.claim_unregistered: RefusalReason.isolated,
})


def claim_refusal(status: CommandStatus) -> Refusal:
    """Return the refusal of a request whose key claim was not granted."""
    if status is CommandStatus.claim_conflict:
        return Refusal(
            reason=RefusalReason.idempotency_key_conflict,
            ran=Ran.no,
            detail='the key belongs to a request with other content',
        )
    reason = _CLAIM_REFUSAL_REASONS.get(status)
    if reason is not None:
        return Refusal(
            reason=reason,
            ran=Ran.no,
            detail=status.value,
            retry_after_s=RETRY_AFTER_S,
        )
    if status is CommandStatus.claim_held:
        return Refusal(
            reason=RefusalReason.outcome_unknown,
            ran=Ran.unknown,
            detail='a request with this key is in progress',
            retry_after_s=RETRY_AFTER_S,
        )
    return Refusal(
        reason=RefusalReason.outcome_unknown,
        ran=Ran.unknown,
        detail='it is in doubt whether a request with this key ran',
    )


def no_quorum_refusal(detail: str) -> Refusal:
    """Return the refusal of a request whose key claim was not committed."""
    return Refusal(
        reason=RefusalReason.no_quorum,
        ran=Ran.no,
        detail=detail,
        retry_after_s=RETRY_AFTER_S,
    )


def deadline_refusal() -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(
        reason=RefusalReason.deadline_exceeded,
        ran=Ran.no,
        retry_after_s=RETRY_AFTER_S,
    )


def stop_refusal(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request that its stopping entry cannot finish.

    If it may have run, the stop is a deadline like any other.
    """
    if may_have_run:
        return msgspec.structs.replace(
            deadline_refusal(), detail=_STOPPING_DETAIL
        )
    return Refusal(
        reason=RefusalReason.draining,
        ran=Ran.no,
        detail=_STOPPING_DETAIL,
        retry_after_s=RETRY_AFTER_S,
    )


def failure_refusal(fault: AttemptFault, *, in_doubt: bool) -> Refusal:
    """Return the refusal of a request whose failed attempt is not retried.

    `in_doubt` means that the request may have run and is not idempotent.
    """
    if in_doubt:
        return Refusal(
            reason=RefusalReason.outcome_unknown,
            ran=Ran.unknown,
            detail=fault.value,
        )
    return Refusal(
        reason=RefusalReason.upstream_failed,
        ran=Ran.no,
        detail=fault.value,
        retry_after_s=RETRY_AFTER_S,
    )
