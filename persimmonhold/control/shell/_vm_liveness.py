"""When the control leader last knew each registered VM to be alive."""

import math
from typing import Final, final

from persimmonhold.control.shell._vm_report_tracker import VmReportTracker
from persimmonhold.membership import ProofTable

# After a longer gap between two observations, for example a freeze of this VM,
# what the other VMs sent meanwhile may not have been read yet.
_MAX_OBSERVATION_GAP_S: Final = 1.0


@final
class VmLiveness:
    """Tells for how long the leader has not heard of a VM, from anyone.

    A VM counts as alive when the leader of a term first observes it, and again
    after a gap between observations.
    """

    __slots__ = (
        '_first_seen_at',
        '_observed_at',
        '_proofs',
        '_report_tracker',
        '_term',
    )

    def __init__(
        self, proofs: ProofTable, report_tracker: VmReportTracker
    ) -> None:
        """Create the liveness from the proofs and reports that a VM has."""
        self._proofs = proofs
        self._report_tracker = report_tracker
        self._first_seen_at: dict[str, float] = {}
        self._observed_at = -math.inf
        self._term = -1

    def observe(self, term: int, now: float) -> None:
        """Record that this VM leads in a term at `now`.

        Must be called at least every second for silences to add up.
        """
        has_gap = now - self._observed_at > _MAX_OBSERVATION_GAP_S
        if has_gap or term != self._term:
            self._first_seen_at.clear()
        self._term = term
        self._observed_at = now

    def silence_s(self, name: str, now: float) -> float:
        """Return the seconds since a VM was last known to be alive."""
        proven_at = self._proofs.vms_proven_at.get(name, -math.inf)
        latest_report = self._report_tracker.latest_reports.get(name)
        reported_at = latest_report[0] if latest_report else -math.inf
        first_seen_at = self._first_seen_at.setdefault(name, now)
        return now - max(proven_at, reported_at, first_seen_at)

    def forget_vm(self, name: str) -> None:
        """Forget a VM that was removed; it may register again."""
        self._first_seen_at.pop(name, None)
