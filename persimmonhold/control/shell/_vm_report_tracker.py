"""The reports of the VMs to the control leader."""

from collections.abc import Collection
from typing import Final, TypeAlias, final

from persimmonhold.control.shell._control_messages import VmReport
from persimmonhold.membership import AckTable
from persimmonhold.messages import Demand

_DEMAND_VALID_S: Final = 15.0

_TimedDemand: TypeAlias = tuple[float, tuple[Demand, ...]]


@final
class VmReportTracker:
    """Tracks the newest report, demand and acknowledged view of each VM."""

    __slots__ = (
        '_demand_by_vm',
        '_lease_s',
        'acknowledgements',
        'latest_reports',
    )

    def __init__(self, lease_s: float) -> None:
        """Create a tracker without reports; a VM is live for `lease_s`."""
        self.acknowledgements = AckTable(lease_s)
        self.latest_reports: dict[str, tuple[float, VmReport]] = {}
        self._demand_by_vm: dict[str, _TimedDemand] = {}
        self._lease_s = lease_s

    def record_report(
        self,
        now: float,
        report: VmReport,
        registered_names: Collection[str],
    ) -> None:
        """Record the report of a VM unless it is older than its last one."""
        last = self.latest_reports.get(report.vm)
        if last is not None and _is_outdated(report, last[1]):
            return
        self.latest_reports[report.vm] = (now, report)
        if report.demand is not None:
            self._demand_by_vm[report.vm] = (now, report.demand)
        self.acknowledgements.record_acknowledgement(
            now,
            report.vm,
            report.incarnation,
            report.index,
            registered_names,
        )

    def live_vms(self, now: float) -> frozenset[str]:
        """Return the names of the VMs that reported within `lease_s`."""
        return frozenset(
            name
            for name, (at, _) in self.latest_reports.items()
            if now - at <= self._lease_s
        )

    def total_demand(self, now: float) -> tuple[Demand, ...]:
        """Return the recent demand of all VMs, summed per target."""
        summed: dict[str, Demand] = {}
        for at, demands in self._demand_by_vm.values():
            if now - at > _DEMAND_VALID_S:
                continue
            for demand in demands:
                summed[demand.target] = _add_demand(
                    summed.get(demand.target), demand
                )
        return tuple(summed[target] for target in sorted(summed))

    def retain_vms(self, names: Collection[str]) -> None:
        """Drop the reports and the demand of VMs other than `names`."""
        for name in tuple(self.latest_reports):
            if name not in names:
                self.latest_reports.pop(name)
                self._demand_by_vm.pop(name, None)


def _is_outdated(report: VmReport, last: VmReport) -> bool:
    """Return whether `last`, of the same incarnation, is newer."""
    if report.incarnation != last.incarnation:
        return False
    return report.index < last.index


def _add_demand(one: Demand | None, other: Demand) -> Demand:
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
