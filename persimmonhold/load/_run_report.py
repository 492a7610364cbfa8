"""The results of a load run."""

from collections import Counter
from typing import final

import msgspec

from persimmonhold.catalogue import Bounds
from persimmonhold.load._attainment import is_attained
from persimmonhold.load._audit import AuditResult, audit_calls
from persimmonhold.load._class_report import ClassReport, build_class_report
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._request_outcome import RequestOutcome
from persimmonhold.load._run_parameters import RunParameters
from persimmonhold.load._standin_record import StandinRecord


@final
class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """The results of a load run, as printed or written as JSON.

    `refusals` counts requests by the reason of the last refusal, `faults` by
    the reason why no complete, correct response arrived. Moves are loads and
    unloads. `attainment_by_second` holds (second, offered, attained).
    """

    deployment: str
    seed: int
    rate_per_s: float
    duration_s: float
    classes: tuple[ClassReport, ...]
    refusals: dict[str, int]
    faults: dict[str, int]
    foreign_or_broken_answers: int
    moves: int
    adapter_moves: int
    accelerators: int
    overcommitted: int
    audit: AuditResult
    attainment_by_second: tuple[tuple[int, int, int], ...]

    @property
    def offered(self) -> int:
        """The number of requests that were due."""
        return sum(report.offered for report in self.classes)

    @property
    def attained(self) -> int:
        """The number of requests that met every bound of their kind."""
        return sum(report.attained for report in self.classes)

    @property
    def attainment(self) -> float:
        """The fraction of offered requests that met their bounds, or 1 if
        no request was offered.
        """
        return self.attained / self.offered if self.offered else 1

    @property
    def attained_per_accelerator_s(self) -> float:
        """Requests that met their bounds, per second and per accelerator."""
        return self.attained / self.duration_s / max(1, self.accelerators)

    @property
    def is_clean(self) -> bool:
        """Whether the run found no violation of what the system guarantees.

        Violations are audit mismatches, wrong responses and overcommitted
        memory.
        """
        broken = self.audit.mismatches or self.foreign_or_broken_answers
        return not broken and not self.overcommitted


def build_report(
    parameters: RunParameters,
    outcomes: tuple[RequestOutcome, ...],
    before: StandinRecord,
    after: StandinRecord,
) -> RunReport:
    """Build the report of a run.

    `before` and `after` are what the stand-ins had recorded around it.
    """
    return RunReport(
        deployment=parameters.deployment,
        seed=parameters.seed,
        rate_per_s=parameters.rate_per_s,
        duration_s=parameters.duration_s,
        classes=_build_class_reports(outcomes, parameters.bounds),
        refusals=dict(
            Counter(outcome.reason for outcome in outcomes if outcome.reason)
        ),
        faults=dict(
            Counter(outcome.fault for outcome in outcomes if outcome.fault)
        ),
        foreign_or_broken_answers=sum(map(_is_wrong_response, outcomes)),
        moves=after.move_count - before.move_count,
        adapter_moves=after.adapter_move_count - before.adapter_move_count,
        accelerators=max(before.accelerator_count, after.accelerator_count),
        overcommitted=after.overcommit_count - before.overcommit_count,
        audit=audit_calls(outcomes, after),
        attainment_by_second=_count_by_second(outcomes, parameters),
    )


def _build_class_reports(
    outcomes: tuple[RequestOutcome, ...],
    bounds: Bounds,
) -> tuple[ClassReport, ...]:
    by_kind: dict[RequestKind, list[RequestOutcome]] = {}
    for outcome in outcomes:
        by_kind.setdefault(outcome.planned.kind, []).append(outcome)
    return tuple(
        build_class_report(kind, by_kind[kind], bounds)
        for kind in RequestKind
        if kind in by_kind
    )


def _is_wrong_response(outcome: RequestOutcome) -> bool:
    """Return whether the response itself was wrong, not just refused or cut.

    The faults of `StreamValidator` and of a wrong body begin with these words.
    """
    return outcome.fault.startswith(('token ', 'not '))


def _count_by_second(
    outcomes: tuple[RequestOutcome, ...],
    parameters: RunParameters,
) -> tuple[tuple[int, int, int], ...]:
    """Return (second, offered, attained) for each second of the run.

    A request is counted in the second in which it was due.
    """
    offered: Counter[int] = Counter()
    attained: Counter[int] = Counter()
    for outcome in outcomes:
        second = int(outcome.planned.at_s)
        offered[second] += 1
        attained[second] += is_attained(outcome, parameters.bounds)
    return tuple(
        (second, offered[second], attained[second])
        for second in sorted(offered)
    )
