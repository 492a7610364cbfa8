"""Evaluates a drill against the promises of the system."""

from typing import Final, final

import msgspec

from bench.drills._change_probe import ChangeProbe
from bench.drills._drill import Drill
from persimmonhold.load import RunReport

# An accepted change must be applied by every VM within this time.
_MAX_DELAY_S: Final = 6.0
_CUT_FAULTS: Final = (
    'stream was cut',
    'answer was cut',
    'cut before the answer',
)


@final
class Promise(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a promise was held, and the figures that show it."""

    name: str
    held: bool
    figure: str


@final
class DrillResult(msgspec.Struct, frozen=True, kw_only=True):
    """The promises of one drill, and attainment before, during and after."""

    drill: str
    promises: tuple[Promise, ...]
    attainment: tuple[float, float, float]
    notes: dict[str, float]
    report: RunReport

    @property
    def is_held(self) -> bool:
        """Whether every promise was held."""
        return all(promise.held for promise in self.promises)


def evaluate_promises(
    drill: Drill,
    report: RunReport,
    probe: ChangeProbe,
    unreachable: tuple[str, ...],
) -> tuple[Promise, ...]:
    """Return each promise with its outcome in the run."""
    cut_count = sum(report.faults.get(fault, 0) for fault in _CUT_FAULTS)
    delay_s = probe.compute_max_delay_s()
    late_requests = drill.notes.get('requests_after_2_s', 0)
    unclean_exits = drill.notes.get('unclean_exits', 0)
    return (
        Promise(
            name='memory never overcommitted',
            held=report.overcommitted == 0,
            figure=f'{report.overcommitted} times',
        ),
        Promise(
            name='every model reachable',
            held=not unreachable,
            figure=f'{len(unreachable)} without an answer',
        ),
        Promise(
            name='whole answers to own requests',
            held=report.foreign_or_broken_answers == 0,
            figure=f'{report.foreign_or_broken_answers} wrong',
        ),
        Promise(
            name='not run means not run; at most once',
            held=not report.audit.mismatches,
            figure=f'{len(report.audit.mismatches)} of'
            f' {report.audit.sent} calls',
        ),
        Promise(
            name='planned stops cut nothing off',
            held=not drill.is_planned or not (cut_count or unclean_exits),
            figure=f'{cut_count} cut, {unclean_exits:.0f} unclean exits',
        ),
        Promise(
            name='a leaving upstream gets no new work',
            held=late_requests == 0,
            figure=f'{late_requests:.0f} after 2 s',
        ),
        Promise(
            name='changes in force everywhere, never reverted',
            held=not probe.revert_count and delay_s <= _MAX_DELAY_S,
            figure=f'{len(probe.accepted_at)} changes, worst'
            f' {delay_s:.2f} s, {probe.revert_count} reverts,'
            f' {probe.count_lagging_vms()} never seen',
        ),
    )


def split_attainment(
    report: RunReport,
    start_s: float,
    end_s: float,
) -> tuple[float, float, float]:
    """Return attainment before, during and after the failure.

    Times are seconds since the start of the load run. A phase without
    requests has attainment 1.
    """
    rows = report.attainment_by_second
    return (
        _attained_share([row for row in rows if row[0] < start_s]),
        _attained_share([row for row in rows if start_s <= row[0] < end_s]),
        _attained_share([row for row in rows if row[0] >= end_s]),
    )


def _attained_share(rows: list[tuple[int, int, int]]) -> float:
    offered = sum(row[1] for row in rows)
    return sum(row[2] for row in rows) / offered if offered else 1
