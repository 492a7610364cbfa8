"""Runs placement on the control leader.

Invariant: decisions and engine requests belong to one leadership. When it
ends, its requests are cancelled and its placement state is discarded.
"""

import asyncio
from typing import Final, final

from persimmonhold.control.shell._placement_host import PlacementHost
from persimmonhold.control.shell._placement_term import (
    PlacementTerm,
    build_placement_state,
)
from persimmonhold.observability import Metrics
from persimmonhold.placement import Decision, PlacementLeader
from persimmonhold.settings import PlacementSettings

_ROUND_INTERVAL_S: Final = 0.1


@final
class PlacementRunner:
    """Starts placement when this replica becomes leader, and stops it later."""

    __slots__ = (
        '_active_term',
        '_host',
        '_placement_leader',
        '_metrics',
        '_settings',
        '_term_number',
    )

    def __init__(
        self,
        host: PlacementHost,
        settings: PlacementSettings | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a runner for a control replica."""
        self._host = host
        self._settings = settings or PlacementSettings()
        self._metrics = metrics or Metrics()
        self._placement_leader: PlacementLeader | None = None
        self._active_term: PlacementTerm | None = None
        self._term_number = -1

    async def run(self) -> None:
        """Run placement while this replica is the leader, until cancelled."""
        try:
            while True:
                await self._run_round()
                await asyncio.sleep(_ROUND_INTERVAL_S)
        finally:
            self._step_down()

    @property
    def is_leading(self) -> bool:
        """Whether placement runs on this replica now."""
        return self._active_term is not None

    def explain(self, target: str) -> tuple[Decision, ...]:
        """Return the recorded decisions about a model or adapter.

        Empty on a replica that is not the leader.
        """
        return (
            self._placement_leader.planner.find_decisions(target)
            if self._placement_leader
            else ()
        )

    async def _run_round(self) -> None:
        if not self._host.is_leader:
            self._step_down()
            return
        if self._term_number != self._host.term:
            self._step_down()
        if self._active_term is None:
            self._term_number = self._host.term
            self._placement_leader = PlacementLeader(
                self._settings,
                build_placement_state(self._host),
                asyncio.get_running_loop().time(),
            )
            self._active_term = PlacementTerm(
                self._host,
                self._placement_leader,
                self._metrics,
            )
        await self._active_term.run_round()
        if self._active_term.is_over:
            self._step_down()

    def _step_down(self) -> None:
        if self._active_term is not None:
            self._active_term.close()
        self._active_term = None
        self._placement_leader = None
