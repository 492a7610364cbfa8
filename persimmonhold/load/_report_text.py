"""Formats run reports for the terminal."""

from persimmonhold.load._class_report import ClassReport
from persimmonhold.load._run_report import RunReport

_HEADER = (
    'kind     offered answered attained  share'
    '  first p50/p95/p99 ms  gap p95 ms  total p95 ms'
)


def format_report(report: RunReport) -> str:
    """Format the results of a run as a table with a few lines below it."""
    lines = [
        f'{report.deployment}: seed {report.seed},'
        f' {report.rate_per_s:g} requests/s for {report.duration_s:g} s',
        _HEADER,
        *(_format_class_line(row) for row in report.classes),
        f'attainment {report.attainment:.3f};'
        f' per accelerator {report.attained_per_accelerator_s:.3f}/s'
        f' over {report.accelerators};'
        f' moves {report.moves}, of adapters {report.adapter_moves}',
        f'refusals {_format_counts(report.refusals)};'
        f' faults {_format_counts(report.faults)}',
        _format_audit_line(report),
    ]
    lines.extend(f'MISMATCH {mismatch}' for mismatch in report.audit.mismatches)
    return '\n'.join(lines)


def format_comparison(first: RunReport, second: RunReport) -> str:
    """Format the figures of two runs side by side, with `second - first`."""
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
    others = {row.kind: row for row in second.classes}
    rows.extend(
        (f'{row.kind} share', row.attainment, others[row.kind].attainment)
        for row in first.classes
        if row.kind in others
    )
    return '\n'.join(
        f'{name:24} {before:10.3f} {after:10.3f} {after - before:+10.3f}'
        for name, before, after in rows
    )


def _format_class_line(row: ClassReport) -> str:
    first = '/'.join(
        f'{at:.0f}'
        for at in (row.first_p50_ms, row.first_p95_ms, row.first_p99_ms)
    )
    counts = f'{row.offered:7} {row.answered:8} {row.attained:8}'
    return (
        f'{row.kind:8} {counts} {row.attainment:6.3f} {first:>20}'
        f' {row.gap_p95_ms:11.0f} {row.total_p95_ms:13.0f}'
    )


def _format_counts(counts: dict[str, int]) -> str:
    if not counts:
        return 'none'
    return ', '.join(f'{name} {counts[name]}' for name in sorted(counts))


def _format_audit_line(report: RunReport) -> str:
    audit = report.audit
    return (
        f'calls sent {audit.sent}, answered {audit.answered},'
        f' not run {audit.refused_not_run}, in doubt {audit.in_doubt},'
        f' executed {audit.executed}; mismatches {len(audit.mismatches)};'
        f' wrong answers {report.foreign_or_broken_answers};'
        f' overcommitted {report.overcommitted}'
    )
