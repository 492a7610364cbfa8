"""Run reports as text for people."""

from persimmonhold.load._class_report import ClassReport
from persimmonhold.load._run_report import RunReport

_HEADER = (
    'kind     offered answered attained  share'
    '  first p50/p95/p99 ms  gap p95 ms  total p95 ms'
)


def format_report(report: RunReport) -> str:
    """Return the table of a run."""
    lines = [
        f'{report.deployment}: seed {report.seed},'
        f' {report.rate_per_s:g} requests/s for {report.duration_s:g} s',
        _HEADER,
        *(_class_line(one) for one in report.classes),
        f'attainment {report.attainment:.3f};'
        f' per accelerator {report.attained_per_accelerator_s:.3f}/s'
        f' over {report.accelerators};'
        f' moves {report.moves}, of adapters {report.adapter_moves}',
        f'refusals {_counts(report.refusals)}; faults {_counts(report.faults)}',
        _audit_line(report),
    ]
    lines.extend(f'MISMATCH {one}' for one in report.audit.mismatches)
    return '\n'.join(lines)


def format_comparison(first: RunReport, second: RunReport) -> str:
    """Return two runs side by side."""
    rows: list[tuple[str, float, float]] = [
        ('attainment', first.attainment, second.attainment),
        (
            'attained/s/accelerator',
            first.attained_per_accelerator_s,
            second.attained_per_accelerator_s,
        ),
        ('moves', first.moves, second.moves),
        (
            'mismatches',
            len(first.audit.mismatches),
            len(second.audit.mismatches),
        ),
    ]
    others = {one.kind: one for one in second.classes}
    rows.extend(
        (f'{one.kind} share', one.attainment, others[one.kind].attainment)
        for one in first.classes
        if one.kind in others
    )
    return '\n'.join(
        f'{name:24} {before:10.3f} {after:10.3f} {after - before:+10.3f}'
        for name, before, after in rows
    )


def _class_line(one: ClassReport) -> str:
    first = '/'.join(
        f'{at:.0f}'
        for at in (one.first_p50_ms, one.first_p95_ms, one.first_p99_ms)
    )
    counts = f'{one.offered:7} {one.answered:8} {one.attained:8}'
    return (
        f'{one.kind:8} {counts} {one.attainment:6.3f} {first:>20}'
        f' {one.gap_p95_ms:11.0f} {one.total_p95_ms:13.0f}'
    )


def _counts(counts: dict[str, int]) -> str:
    if not counts:
        return 'none'
    return ', '.join(f'{name} {counts[name]}' for name in sorted(counts))


def _audit_line(report: RunReport) -> str:
    audit = report.audit
    return (
        f'calls sent {audit.sent}, answered {audit.answered},'
        f' not run {audit.refused_not_run}, in doubt {audit.in_doubt},'
        f' executed {audit.executed}; mismatches {len(audit.mismatches)};'
        f' wrong answers {report.foreign_or_broken_answers};'
        f' overcommitted {report.overcommitted}'
    )
