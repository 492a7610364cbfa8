"""Compares what callers were told with the calls that were executed."""

from collections import Counter
from typing import final

import msgspec

from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._standin_record import StandinRecord


@final
class AuditResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of an audit: counts of calls, and the mismatches found.

    Mismatches are a key that was executed more than once, a complete
    response without an execution, and an execution of a request whose
    refusal said that it had not run (`ran: no`). `in_doubt` counts calls
    without a complete response that may have been executed.
    """

    sent: int
    answered: int
    refused_not_run: int
    in_doubt: int
    executed: int
    mismatches: tuple[str, ...]


def audit_calls(
    outcomes: tuple[RequestOutcome, ...],
    record: StandinRecord,
) -> AuditResult:
    """Audit the calls of a run against the executions of the stand-ins.

    A killed stand-in loses its record of executions. A response without an
    execution therefore counts as a mismatch only if every stand-in could be
    read.
    """
    execution_counts = Counter(
        execution.key
        for executions in record.executions.values()
        for execution in executions
        if execution.key
    )
    calls = [
        outcome
        for outcome in outcomes
        if outcome.planned.kind is RequestKind.call
    ]
    mismatches = [
        mismatch
        for outcome in calls
        for mismatch in _find_mismatches(outcome, execution_counts, record)
    ]
    result_counts = Counter(_reported_result(outcome) for outcome in calls)
    keys = {outcome.planned.key for outcome in calls}
    return AuditResult(
        sent=len(calls),
        answered=result_counts['answered'],
        refused_not_run=result_counts['no'],
        in_doubt=result_counts['unknown'],
        executed=sum(execution_counts[key] for key in keys),
        mismatches=tuple(mismatches),
    )


def _reported_result(outcome: RequestOutcome) -> str:
    """Return what the caller knows: `answered`, `no` (not run) or `unknown`."""
    if outcome.is_complete:
        return 'answered'
    return 'no' if outcome.ran == 'no' else 'unknown'


def _find_mismatches(
    outcome: RequestOutcome,
    execution_counts: Counter[str],
    record: StandinRecord,
) -> list[str]:
    key = outcome.planned.key
    count = execution_counts[key]
    mismatches: list[str] = []
    if count > 1:
        mismatches.append(f'{key}: executed {count} times')
    if outcome.is_complete and not count and not record.unreachable:
        mismatches.append(f'{key}: answered but never executed')
    if _reported_result(outcome) == 'no' and count:
        mismatches.append(f'{key}: told ran no but executed')
    return mismatches
