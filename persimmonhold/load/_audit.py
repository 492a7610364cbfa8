"""Compares what callers were told with what services executed."""

from collections import Counter
from typing import final

import msgspec

from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._standin_record import StandinRecord


@final
class AuditResult(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of non-idempotent calls, and the mismatches by name.

    A key that was executed twice, an answer without an execution, and an
    execution of a request that was told `ran: no` are mismatches.
    """

    sent: int
    answered: int
    refused_not_run: int
    in_doubt: int
    executed: int
    mismatches: tuple[str, ...]


def audit(
    outcomes: tuple[RequestOutcome, ...],
    record: StandinRecord,
) -> AuditResult:
    """Audit the keyed calls of a run.

    Executions that a stand-in forgot when it was killed cannot be counted;
    answers are then held against the stand-ins that still answer only when
    all of them do.
    """
    executed = Counter(
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
        problem
        for outcome in calls
        for problem in _problems(outcome, executed, record)
    ]
    told = Counter(_told(outcome) for outcome in calls)
    keys = {outcome.planned.key for outcome in calls}
    return AuditResult(
        sent=len(calls),
        answered=told['answered'],
        refused_not_run=told['no'],
        in_doubt=told['unknown'],
        executed=sum(executed[key] for key in keys),
        mismatches=tuple(mismatches),
    )


def _told(outcome: RequestOutcome) -> str:
    if outcome.is_complete:
        return 'answered'
    return 'no' if outcome.ran == 'no' else 'unknown'


def _problems(
    outcome: RequestOutcome,
    executed: Counter[str],
    record: StandinRecord,
) -> list[str]:
    key = outcome.planned.key
    count = executed[key]
    found: list[str] = []
    if count > 1:
        found.append(f'{key}: executed {count} times')
    if outcome.is_complete and not count and not record.unreachable:
        found.append(f'{key}: answered but never executed')
    if _told(outcome) == 'no' and count:
        found.append(f'{key}: told ran no but executed')
    return found
