"""Tests of the lease that lets one VM at a time issue orders."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from returns.result import Failure as Failed
from returns.result import Result, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.forwarding._order_lease import OrderLease

_LEASE_S = 3.0
_EXPIRY_S = 3.4  # the lease and its margin
_TERM = 2


class LeaderWithoutLease:
    """A control node that has just been elected.

    The VM that issued the last orders can be handed the leadership from
    `returns_after_s` on.
    """

    def __init__(self, returns_after_s: float) -> None:
        self.returns_at = asyncio.get_running_loop().time() + returns_after_s
        self.term = _TERM
        self.vm = SimpleNamespace(record=SimpleNamespace(name='vm2'))
        self.state = SimpleNamespace(fleet_controller='vm1')
        self.log = self

    def now_ms(self) -> int:
        """Return the time of commands."""
        return 0

    async def read_barrier(self) -> Result[None, Failure]:
        """Confirm the leadership."""
        return Success(None)

    async def propose(self, command: object) -> Result[None, Failure]:
        """Commit a command."""
        return Success(None)

    async def transfer_leadership(self, name: str) -> Result[None, Failure]:
        """End the term if the other VM has returned."""
        if asyncio.get_running_loop().time() < self.returns_at:
            return Failed(
                Failure(kind=FailureKind.timed_out, step='transfer leadership')
            )
        self.term += 1
        return Success(None)


async def _acquire(returns_after_s: float) -> tuple[bool, float]:
    """Return whether the lease was acquired, and after how many seconds."""
    clock = asyncio.get_running_loop().time
    lease = OrderLease(
        cast(Any, LeaderWithoutLease(returns_after_s)), _LEASE_S, clock
    )
    began_at = clock()
    acquired = await lease.acquire(_TERM, lease.compute_latest_start())
    return acquired, clock() - began_at


@pytest.mark.parametrize('returns_after_s', [0, 1, 2])
def test_leadership_is_handed_back_to_a_vm_that_returns_soon(
    returns_after_s: float,
) -> None:
    acquired, _ = run_in_virtual_time(_acquire(returns_after_s))
    assert_that(acquired, Equals(False))


@pytest.mark.parametrize('returns_after_s', [2.6, 3.3, _EXPIRY_S])
def test_leadership_is_kept_if_the_lease_expires_soon(
    returns_after_s: float,
) -> None:
    """A further change of leader would take longer than the rest of it."""
    acquired, waited_s = run_in_virtual_time(_acquire(returns_after_s))
    assert_that(acquired, Equals(True))
    assert_that(round(waited_s, 3), Equals(_EXPIRY_S))
