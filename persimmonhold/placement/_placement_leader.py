"""Planning and order issuing of one leadership.

The instance of a deposed leader is discarded with its observations; the next
leader starts from committed state and reads the engines again.
"""

from collections.abc import Iterable
from typing import Final, final

from persimmonhold.messages import Demand, LoadReport
from persimmonhold.placement._action import Action
from persimmonhold.placement._engine_status import EngineStatus
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._order_issuer import OrderIssuer
from persimmonhold.placement._placement_state import PlacementState
from persimmonhold.placement._planner import Planner
from persimmonhold.placement._planner_input import PlannerInput
from persimmonhold.placement._withdrawal_tracker import InForceCheck
from persimmonhold.settings import PlacementSettings

_MS_PER_S: Final = 1000
# An engine is considered alive until its inventory reads have failed for this
# time.
_FAILURE_GRACE_S: Final = 5.0


@final
class PlacementLeader:
    """Plans moves and issues orders for one leadership.

    Keeps the last load report of each engine.
    """

    __slots__ = ('_load_reports', '_state', 'issuer', 'planner')

    def __init__(
        self,
        settings: PlacementSettings,
        state: PlacementState,
        now: float,
    ) -> None:
        """Start a leadership from the committed state."""
        self.issuer = OrderIssuer(settings, now)
        self.planner = Planner(settings)
        self._load_reports: dict[str, LoadReport] = {}
        self._state = state
        self.apply_state(state, now)

    def apply_state(self, state: PlacementState, now: float) -> None:
        """Use a newer committed state for planning and for issuing orders."""
        self._state = state
        self.issuer.apply_state(state, now)

    def record_load_report(
        self,
        upstream: str,
        report: LoadReport,
        started_at: float,
    ) -> None:
        """Record a load report whose read began at `started_at`.

        If the engine reports no running or waiting requests, the time of the
        report is also recorded as its latest idle time.
        """
        self._load_reports[upstream] = report
        watch = self.issuer.watches.get(upstream)
        if watch and report.running == 0 and report.waiting == 0:
            made_at = started_at - report.age_ms / _MS_PER_S
            watch.last_idle_at = max(watch.last_idle_at, made_at)

    def poll(self, is_in_force: InForceCheck, now: float) -> tuple[Action, ...]:
        """Return the actions that are due for orders, copies and inventories.

        New moves are started by `plan_and_issue_moves`.
        """
        self.issuer.withdrawals.leaving_upstreams = frozenset(
            upstream
            for upstream, report in self._load_reports.items()
            if report.leaving
        )
        return self.issuer.poll(is_in_force, now)

    def plan_and_issue_moves(
        self,
        demand: Iterable[Demand],
        is_in_force: InForceCheck,
        now: float,
        wall_clock_s: float,
    ) -> tuple[Action, ...]:
        """Plan moves and return the commits that start the safe ones.

        `demand` is the demand that all entries reported; `now` is monotonic
        time and `wall_clock_s` the time of day, both in seconds.
        """
        slots = self.issuer.order_tracker.count_free_slots(
            now, is_adapter=False
        )
        planner_input = PlannerInput(
            state=self._state,
            ledger=self.issuer.fork_ledger(),
            engines={
                watch.upstream: self._build_engine_status(watch, now)
                for watch in self.issuer.watches.values()
            },
            demand=tuple(demand),
            free_load_slots=slots,
            wall_clock_s=wall_clock_s,
        )
        moves = self.planner.plan_moves(planner_input, now)
        if not moves:
            return ()
        ledger = self.issuer.fork_ledger()
        return self.issuer.issue_moves(moves, ledger, is_in_force, now)

    def _build_engine_status(
        self, watch: EngineWatch, now: float
    ) -> EngineStatus:
        failing_since = watch.failing_since
        is_alive = (
            failing_since is None or now < failing_since + _FAILURE_GRACE_S
        )
        report = self._load_reports.get(watch.upstream)
        is_leaving = report is not None and report.leaving
        status = EngineStatus(
            name=watch.upstream,
            is_alive=is_alive and not is_leaving,
            takes_loads=self.issuer.is_ready_for_loads(watch.upstream),
        )
        if report is None or not report.decode_step_ms:
            return status
        return EngineStatus(
            name=status.name,
            is_alive=status.is_alive,
            takes_loads=status.takes_loads,
            prefill_tokens_per_second=report.prefill_tokens_per_second,
            decode_tokens_per_second=(
                report.slots * _MS_PER_S / report.decode_step_ms
            ),
        )
