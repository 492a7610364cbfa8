"""The limit of a workspace while the control VM that leads fails."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import CommandStatus
from persimmonhold.fleet import DispatchRequest, RequestProfile
from persimmonhold.quota import CreditSpending
from persimmonhold.routes import RoutingDocument, Workspace, WorkspaceLimit
from tests.fleet_builders import make_route
from tests.limited_fleet import LimitedFleet

Scenario = Callable[[LimitedFleet], Awaitable[None]]
Run = Callable[[Scenario], None]
_ENTRIES: Final = 20
_COST: Final = 1114
_LIMIT: Final = WorkspaceLimit(
    per_s=42_000, burst=42_000, counts_tokens=True, default_tokens=200
)
_ALLOWED: Final = (8 * 42_000 + 42_000) * 1.1 + 17_000
_LASTS_S: Final = 22.0


class Callers:
    """Callers of one workspace at all entries, and what they got."""

    def __init__(self, fleet: LimitedFleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(3)
        self.admitted: list[tuple[float, bool]] = []
        self.refused_count = 0

    async def call(self, share: float) -> None:
        """Send a share of the limit until the end of the test."""
        ends_at = self.fleet.now + _LASTS_S
        async with asyncio.TaskGroup() as group:
            while self.fleet.now < ends_at:
                per_s = share * _LIMIT.per_s / _COST
                await asyncio.sleep(self.rng.expovariate(per_s))
                group.create_task(self._run_request())

    def largest_window(self) -> int:
        """Return the most that was admitted in any 8 s."""
        return max(
            sum(at - 8 < other <= at for other, _ in self.admitted) * _COST
            for at, _ in self.admitted
        )

    async def _run_request(self) -> None:
        now = self.fleet.now
        services = self.fleet.services[self.rng.choice(self.fleet.entries)]
        request = DispatchRequest(
            number=1,
            service='models',
            route=make_route(),
            profile=RequestProfile(
                request_id='r1', prompt_tokens=826, output_tokens=288
            ),
            arrived_at=now,
            due_at=now + 0.4,
            caller_waits_until=now + 1.8,
            ends_at=now + 3,
            workspace='w1',
        )
        got = await services.find_quota_client().obtain_credit(request)
        if isinstance(got, CreditSpending):
            self.admitted.append((self.fleet.now, got.is_alone))
        else:
            self.refused_count += 1


@pytest.fixture
def run_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a function that runs a scenario with control VMs and entries."""

    async def run_scenario(
        scenario: Scenario,
    ) -> None:
        async with LimitedFleet(_ENTRIES, tmp_path, monkeypatch) as fleet:
            await _set_limit(fleet)
            await scenario(fleet)

    def run(scenario: Scenario) -> None:
        run_in_virtual_time(run_scenario(scenario))

    return run


async def _set_limit(fleet: LimitedFleet) -> None:
    """Have control accept a workspace with a limit, and all entries know it."""
    document = RoutingDocument(
        version=1,
        workspaces=(Workspace(name='w1', limit=_LIMIT),),
    )
    put = await fleet.system.leader.put_routes(document)
    assert_that(put.unwrap().status, Equals(CommandStatus.done))
    for services in fleet.services.values():
        view = services.link.view
        services.link.view = msgspec.structs.replace(view, routes=document)
        services.hub.dispatcher.entry_count = _ENTRIES
    await asyncio.sleep(1)


@pytest.mark.parametrize('fault', ['', 'kill', 'cut', 'pause'])
@pytest.mark.parametrize('share', [0.55, 4.0])
def test_limit_is_kept_while_the_leader_fails(
    run_fleet: Run,
    fault: str,
    share: float,
) -> None:
    """A former leader that is cut off or paused grants nothing any more."""

    async def scenario(fleet: LimitedFleet) -> None:
        callers = Callers(fleet)
        calls = asyncio.create_task(callers.call(share))
        await asyncio.sleep(6)
        if fault:
            await fleet.disturb_leader(fault)
        await calls
        assert_that(callers.largest_window(), LessThan(_ALLOWED))
        lately = [
            is_alone for at, is_alone in callers.admitted if at > fleet.now - 6
        ]
        # The new leader grants credit, and nobody decides alone any more.
        assert_that(set(lately), Equals({False}))
        served = len(lately) * _COST / 6 / _LIMIT.per_s
        assert_that(served, GreaterThan(0.85 * min(1, share)))

    run_fleet(scenario)
