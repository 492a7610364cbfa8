"""What the VMs report to the leader of control."""

from collections.abc import Collection
from typing import Final, TypeAlias, final

from persimmonhold.control.shell._control_messages import VmReport
from persimmonhold.membership import AckTable
from persimmonhold.messages import Demand

_DEMAND_VALID_S: Final = 15.0

_TimedDemand: TypeAlias = tuple[float, tuple[Demand, ...]]


@final
class ReportBook:
    """The newest report and demand of each VM, and what they accept."""

    __slots__ = ('_demand', '_lease_s', 'acks', 'reports')

    def __init__(self, lease_s: float) -> None:
        """Create a book without reports."""
        self.acks = AckTable(lease_s)
        self.reports: dict[str, tuple[float, VmReport]] = {}
        self._demand: dict[str, _TimedDemand] = {}
        self._lease_s = lease_s

    def take(
        self,
        now: float,
        report: VmReport,
        names: Collection[str],
    ) -> None:
        """Note a report; one that is older than the last is left."""
        last = self.reports.get(report.vm)
        if last is not None and _is_older(report, last[1]):
            return
        self.reports[report.vm] = (now, report)
        if report.demand is not None:
            self._demand[report.vm] = (now, report.demand)
        self.acks.record_acknowledgement(
            now,
            report.vm,
            report.incarnation,
            report.index,
            names,
        )

    def live(self, now: float) -> frozenset[str]:
        """Return the VMs that reported within a lease."""
        return frozenset(
            name
            for name, (at, _) in self.reports.items()
            if now - at <= self._lease_s
        )

    def demand(self, now: float) -> tuple[Demand, ...]:
        """Return the newest demand of all VMs, summed by target."""
        summed: dict[str, Demand] = {}
        for at, demands in self._demand.values():
            if now - at > _DEMAND_VALID_S:
                continue
            for demand in demands:
                summed[demand.target] = _sum(summed.get(demand.target), demand)
        return tuple(summed[target] for target in sorted(summed))

    def forget_others(self, names: Collection[str]) -> None:
        """Drop what VMs reported that are no longer registered."""
        for name in tuple(self.reports):
            if name not in names:
                self.reports.pop(name)
                self._demand.pop(name, None)


def _is_older(report: VmReport, last: VmReport) -> bool:
    """Tell whether a report of one incarnation was overtaken."""
    if report.incarnation != last.incarnation:
        return False
    return report.index < last.index


def _sum(one: Demand | None, other: Demand) -> Demand:
    if one is None:
        return other
    return Demand(
        target=one.target,
        requests_per_second=(
            one.requests_per_second + other.requests_per_second
        ),
        prompt_tokens_per_second=(
            one.prompt_tokens_per_second + other.prompt_tokens_per_second
        ),
        output_tokens_per_second=(
            one.output_tokens_per_second + other.output_tokens_per_second
        ),
        waiting=one.waiting + other.waiting,
    )
