"""A change that is sent again while voters are missing is still accepted."""

import asyncio

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from bench.memory_system import build_change
from bench.virtual_loop import run_in_virtual_time
from persimmonhold.control.machine import ControlStateMachine
from persimmonhold.control.shell import ControlApplier, ControlNode
from tests.test_voter_wait import _CALLERS_WAIT_S, _GrowingLog

_CALL_S = 1.0  # callers of the platform call again after a second


async def _time_calls() -> float:
    """Return the time until one of the calls for a change is answered."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    applier = ControlApplier(ControlStateMachine())
    log = _GrowingLog(applier, 0.01, float('inf'))
    node = ControlNode(applier, log)
    change = build_change(node, 1)
    while loop.time() - began_at < 5 * _CALLERS_WAIT_S:
        try:
            async with asyncio.timeout(_CALL_S):
                await node.commit_change(change)
        except TimeoutError:
            continue
        break
    return loop.time() - began_at


def test_change_that_is_sent_each_second_does_not_wait_anew() -> None:
    """Each call waited 3 s of its own, so no call of 1 s was ever answered."""
    took_s = run_in_virtual_time(_time_calls())
    assert_that(took_s, LessThan(_CALLERS_WAIT_S))
