"""How long changes wait for replicas that are about to become voters."""

import asyncio
from typing import Final, final

import msgspec
import pytest
from returns.result import Result, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan, MatchesAll

from bench.memory_system import build_change
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import CommandStatus, ControlStateMachine
from persimmonhold.control.shell import ControlApplier, ControlNode
from persimmonhold.failures import Failure
from persimmonhold.replication import ReplicaStatus, ReplicatedLog

_CALLERS_WAIT_S: Final = 4.0
_JOINED_S: Final = 1.0
_SOON_S: Final = 1.2
_STATUS: Final = ReplicaStatus(
    vm='vm1',
    incarnation='1',
    role='leader',
    term=1,
    leader='vm1',
    is_verified=True,
    lease_s=1,
    last_index=1,
    commit_index=1,
    applied_index=1,
    snapshot_index=0,
    members=(),
)


@final
class _GrowingLog(ReplicatedLog):
    """A leader's log that takes `commit_s` and is short of voters for long."""

    def __init__(
        self, applier: ControlApplier, commit_s: float, short_until: float
    ) -> None:
        self._applier = applier
        self._commit_s = commit_s
        self._short_until = short_until
        self._index = 0

    @property
    def is_leader(self) -> bool:
        return True

    @property
    def leader(self) -> str:
        return 'vm1'

    @property
    def applied_index(self) -> int:
        return self._index

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        await asyncio.sleep(self._commit_s)
        self._index += 1
        return Success(self._applier.apply(self._index, payload))

    async def read_barrier(self) -> Result[int, Failure]:
        await asyncio.sleep(self._commit_s)
        return Success(self._index)

    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        return Success(vm)

    def status(self) -> ReplicaStatus:
        now = asyncio.get_running_loop().time()
        return msgspec.structs.replace(
            _STATUS, is_short_of_voters=now < self._short_until
        )


async def _time_change(commit_s: float, short_s: float) -> float:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    applier = ControlApplier(ControlStateMachine())
    log = _GrowingLog(applier, commit_s, began_at + short_s)
    node = ControlNode(applier, log)
    committed = await node.commit_change(build_change(node, 1))
    assert_that(committed.unwrap().status, Equals(CommandStatus.done))
    return loop.time() - began_at


@pytest.mark.parametrize('commit_s', [0.01, 2.0, 3.5])
def test_slow_change_is_not_held_up_beyond_the_wait_of_its_caller(
    commit_s: float,
) -> None:
    """The wait for voters came on top of a slow commit or acceptance."""
    took_s = run_in_virtual_time(_time_change(commit_s, float('inf')))
    assert_that(took_s, LessThan(_CALLERS_WAIT_S))


def test_change_is_accepted_as_soon_as_the_voters_have_joined() -> None:
    """A change may not be accepted before, nor wait for the longest time."""
    took_s = run_in_virtual_time(_time_change(0.01, _JOINED_S))
    assert_that(took_s, MatchesAll(GreaterThan(_JOINED_S), LessThan(_SOON_S)))
