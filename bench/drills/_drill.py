"""The failures that drills inject into a running deployment."""

import abc
import asyncio
import signal
from typing import Final

import msgspec
from returns.result import Failure as Failed

from bench.drills._processes import DeploymentProcesses
from persimmonhold.web import ClientRequest, fetch, parse_address

_RESTART_DELAY_S: Final = 3.0
_FREEZE_S: Final = 8.0
_FETCH_TIMEOUT_S: Final = 3.0
_LEAVING_GRACE_S: Final = 2.0


class Drill(abc.ABC):
    """A failure that is injected while a load run is in progress."""

    name: str
    # Whether the drill only stops processes as planned, in which case no
    # response may be cut off.
    is_planned = False
    # The minimum duration of the load run, in seconds, that covers the drill.
    min_load_s = 0.0

    def __init__(self) -> None:
        """Create a drill without measurements."""
        self.notes: dict[str, float] = {}

    @abc.abstractmethod
    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Inject the failure and recover from it."""


class NoFailure(Drill):
    """Injects no failure: the baseline of the other drills."""

    name = 'steady'
    is_planned = True

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Inject no failure."""


class LeaderKilled(Drill):
    """Kills the control leader by SIGKILL and restarts it."""

    name = 'leader killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill the leader; restart it after a new one is elected."""
        loop = asyncio.get_running_loop()
        leader = await processes.wait_for_leader()
        await processes.kill(leader)
        killed_at = loop.time()
        await processes.wait_for_new_leader(leader)
        self.notes['failover_s'] = loop.time() - killed_at
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(leader)


class EntryKilled(Drill):
    """Kills an entry without the control role by SIGKILL and restarts it."""

    name = 'entry killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill the last VM and restart it."""
        name = processes.document.vms[-1].name
        await processes.kill(name)
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(name)


class EngineKilled(Drill):
    """Kills an engine by SIGKILL; it restarts without loaded models."""

    name = 'engine killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill the first engine and restart it."""
        name = processes.document.upstreams[0].name
        await processes.kill(name)
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(name)


class LeaderFrozen(Drill):
    """Suspends the leader by SIGSTOP, which acts as a silent partition."""

    name = 'leader frozen'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Suspend the leader for 8 s and resume it."""
        leader = await processes.wait_for_leader()
        processes.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        processes.send_signal(leader, signal.SIGCONT)


class DiskWiped(Drill):
    """Restarts a control VM with an empty disk."""

    name = 'disk wiped'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill a follower, delete its data and restart it."""
        leader = await processes.wait_for_leader()
        name = next(
            vm.name
            for vm in processes.document.vms
            if vm.operators and vm.name != leader
        )
        await processes.kill(name)
        processes.delete_data(name)
        await processes.start(name)


class RollingRestart(Drill):
    """Restarts one VM after another by SIGTERM."""

    name = 'rolling restart'
    is_planned = True
    min_load_s = 170.0

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Stop each VM gracefully and restart it."""
        failures = 0
        for vm in processes.document.vms:
            failures += await processes.stop(vm.name) != 0
            await processes.start(vm.name)
            await asyncio.sleep(1)
        self.notes['unclean_exits'] = failures


class EngineLeaving(Drill):
    """Lets an engine report that it is leaving."""

    name = 'engine leaving'
    is_planned = True

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Set the fault and count the requests that still arrive after 2 s."""
        upstream = processes.document.upstreams[0]
        await _set_fault(upstream.address, leaving=True)
        await asyncio.sleep(_LEAVING_GRACE_S)
        requests_before = await _read_requests_run(upstream.address)
        await asyncio.sleep(_RESTART_DELAY_S)
        requests_after = await _read_requests_run(upstream.address)
        self.notes['requests_after_2_s'] = requests_after - requests_before
        await _set_fault(upstream.address, leaving=False)


class LeaderAndEngineKilled(Drill):
    """Kills the leader and an engine by SIGKILL at the same time."""

    name = 'leader and engine killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill both and restart both."""
        leader = await processes.wait_for_leader()
        engine = processes.document.upstreams[1].name
        await asyncio.gather(processes.kill(leader), processes.kill(engine))
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(engine)
        await processes.start(leader)


class LeaderKilledAfterRepair(Drill):
    """Kills the leader soon after another VM restarted with an empty disk."""

    name = 'second loss after a repair'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Delete a follower's data, wait for its restart, kill the leader."""
        wiped = DiskWiped()
        await wiped.inject_failure(processes)
        await asyncio.sleep(_RESTART_DELAY_S)
        killed = LeaderKilled()
        await killed.inject_failure(processes)
        self.notes.update(killed.notes)


DRILLS: Final = (
    NoFailure,
    LeaderKilled,
    EntryKilled,
    EngineKilled,
    LeaderFrozen,
    DiskWiped,
    RollingRestart,
    EngineLeaving,
    LeaderAndEngineKilled,
    LeaderKilledAfterRepair,
)


async def _set_fault(address: str, *, leaving: bool) -> None:
    await fetch(
        parse_address(address).unwrap(),
        ClientRequest(
            method='POST',
            target='/_standin/fault',
            body=msgspec.json.encode({'leaving': leaving}),
        ),
        _FETCH_TIMEOUT_S,
    )


async def _read_requests_run(address: str) -> int:
    fetched = await fetch(
        parse_address(address).unwrap(),
        ClientRequest(method='GET', target='/_standin/state'),
        _FETCH_TIMEOUT_S,
    )
    if isinstance(fetched, Failed):
        return 0
    document = msgspec.json.decode(fetched.unwrap().body)
    return int(document['requests_run'])
