"""What a drill does to a running deployment."""

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
    """A failure that is brought about while load runs."""

    name: str
    # Whether every stop of the drill is planned, so that nothing may be cut.
    is_planned = False
    # The least time in seconds that load has to run to cover the drill.
    min_load_s = 0.0

    def __init__(self) -> None:
        """Create a drill that has noted nothing."""
        self.notes: dict[str, float] = {}

    @abc.abstractmethod
    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Bring the failure about and mend it."""


class NoFailure(Drill):
    """No failure: the figures to hold the others against."""

    name = 'steady'
    is_planned = True

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Do nothing."""


class LeaderKilled(Drill):
    """SIGKILL of the leading control VM, and its return."""

    name = 'leader killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill the leader and start it again."""
        loop = asyncio.get_running_loop()
        leader = await processes.wait_for_leader()
        await processes.kill(leader)
        killed_at = loop.time()
        await processes.wait_for_new_leader(leader)
        self.notes['failover_s'] = loop.time() - killed_at
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(leader)


class EntryKilled(Drill):
    """SIGKILL of an entry without control, and its return."""

    name = 'entry killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill the last VM and start it again."""
        name = processes.document.vms[-1].name
        await processes.kill(name)
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(name)


class EngineKilled(Drill):
    """SIGKILL of an engine, which returns empty."""

    name = 'engine killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill an engine and start it again."""
        name = processes.document.upstreams[0].name
        await processes.kill(name)
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(name)


class LeaderFrozen(Drill):
    """SIGSTOP of the leader for long: a silent partition, and its return."""

    name = 'leader frozen'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Freeze the leader and let it go on."""
        leader = await processes.wait_for_leader()
        processes.send_signal(leader, signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        processes.send_signal(leader, signal.SIGCONT)


class DiskWiped(Drill):
    """A control VM comes back with an empty disk."""

    name = 'disk wiped'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill a follower, wipe its folder, start it."""
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
    """SIGTERM of every VM in turn."""

    name = 'rolling restart'
    is_planned = True
    min_load_s = 170.0

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Stop each VM gracefully and start it again."""
        failures = 0
        for vm in processes.document.vms:
            failures += await processes.stop(vm.name) != 0
            await processes.start(vm.name)
            await asyncio.sleep(1)
        self.notes['unclean_exits'] = failures


class EngineLeaving(Drill):
    """An engine reports that it is leaving."""

    name = 'engine leaving'
    is_planned = True

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Set the fault and count the work that still arrives."""
        upstream = processes.document.upstreams[0]
        await _set_fault(upstream.address, leaving=True)
        await asyncio.sleep(_LEAVING_GRACE_S)
        requests_before = await _read_requests_run(upstream.address)
        await asyncio.sleep(_RESTART_DELAY_S)
        requests_after = await _read_requests_run(upstream.address)
        self.notes['requests_after_2_s'] = requests_after - requests_before
        await _set_fault(upstream.address, leaving=False)


class LeaderAndEngineKilled(Drill):
    """SIGKILL of the leader and of an engine at the same moment."""

    name = 'leader and engine killed'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Kill both and start both again."""
        leader = await processes.wait_for_leader()
        engine = processes.document.upstreams[1].name
        await asyncio.gather(processes.kill(leader), processes.kill(engine))
        await asyncio.sleep(_RESTART_DELAY_S)
        await processes.start(engine)
        await processes.start(leader)


class LeaderKilledAfterRepair(Drill):
    """A control VM is repaired, and another one is lost right after."""

    name = 'second loss after a repair'

    async def inject_failure(self, processes: DeploymentProcesses) -> None:
        """Wipe a follower, await its start, kill the leader."""
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
