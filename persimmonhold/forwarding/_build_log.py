"""Records in the control log which builds of upstreams have served.

Entries use an upstream only once its build is recorded. So whoever leads next
knows of all builds at which streams may have begun, whatever processes end.
"""

import asyncio
from collections.abc import Iterable
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.machine import change_streams
from persimmonhold.control.shell import ControlNode
from persimmonhold.fleet import ListedUpstream
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.streams import (
    BuildHistory,
    BuildPlanner,
    ServedBuilds,
    StreamChange,
)

_RETRY_INTERVAL_S: Final = 0.05  # a commit takes a few ms
# A list is applied without the upstreams of new builds after this wait.
_COMMIT_WAIT_S: Final = 0.25


@final
class BuildLog:
    """Plans and commits the recorded builds on the VM that leads control.

    `term` is the last term in which the state of this VM was known to include
    all changes of earlier terms. `commit` is the newest change under way.
    """

    __slots__ = ('commit', 'history', 'node', 'planner', 'term')

    def __init__(self, node: ControlNode, history: BuildHistory) -> None:
        """Create a log that records what a history has observed."""
        self.node = node
        self.history = history
        self.planner = BuildPlanner(history, ())
        self.term = 0
        self.commit: asyncio.Task[None] | None = None

    @property
    def is_current(self) -> bool:
        """Whether this VM leads, and its state includes all of before."""
        return self.term == self.node.term and self.node.is_leader

    async def begin_term(self, term: int) -> None:
        """Wait until the state of this VM includes all of earlier terms."""
        while self.node.term == term:
            if not isinstance(await self.node.read_barrier(), Failed):
                self.planner = BuildPlanner(
                    self.history, self._list_routed_services()
                )
                self.term = term
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def find_recorded(self, service: str) -> ServedBuilds | None:
        """Return the recorded builds of a service."""
        return self.node.state.streams.builds.get(service)

    async def record_builds(self, now: float) -> None:
        """Record the builds that have served by now, in time if possible.

        Raises what an earlier change has raised.
        """
        if self.commit is not None and self.commit.done():
            self.commit.result()
            self.commit = None
        if self.commit is None:
            change = self._plan_change(now)
            if change is None:
                return
            self.commit = asyncio.get_running_loop().create_task(
                self._commit(change)
            )
        await asyncio.wait((self.commit,), timeout=_COMMIT_WAIT_S)

    def select_recorded(
        self, listed: Iterable[ListedUpstream]
    ) -> tuple[ListedUpstream, ...] | None:
        """Return the upstreams of a list whose builds are recorded.

        None if a service is not recorded at all yet: entries then go on with
        the upstreams that they know.
        """
        recorded = self.node.state.streams.builds
        listed = tuple(listed)
        if any(one.service not in recorded for one in listed):
            return None
        return tuple(
            one
            for one in listed
            if self._is_recorded(one, recorded[one.service])
        )

    def _plan_change(self, now: float) -> StreamChange | None:
        """Return the change of the recorded builds that is due, or None."""
        recorded = self.node.state.streams.builds
        planned = self.planner.plan(recorded, self._list_routed_services(), now)
        if planned == recorded:
            return None
        return StreamChange(builds=tuple(planned.values()))

    async def _commit(self, change: StreamChange) -> None:
        """Commit a change; a later list repeats one that failed."""
        builds = change.builds or ()
        outcome = await self.node.propose(
            change_streams(self.node.now_ms(), change)
        )
        failure = ''
        if isinstance(outcome, Failed):
            failure = outcome.failure().describe()
        log_event(
            'builds_recorded',
            LogLevel.warning if failure else LogLevel.info,
            builds={one.service: one.builds for one in builds},
            incomplete=[one.service for one in builds if not one.is_complete],
            failure=failure,
        )

    def _list_routed_services(self) -> tuple[str, ...]:
        """Return the services of the routing document in force."""
        routes = self.node.state.view.routes
        return tuple(one.name for one in routes.services)

    @staticmethod
    def _is_recorded(upstream: ListedUpstream, recorded: ServedBuilds) -> bool:
        """Tell whether the build of an upstream is among the recorded ones.

        A version that is not known yet is not recorded beside known ones.
        """
        version = upstream.software_version
        return version in recorded.builds or not version
