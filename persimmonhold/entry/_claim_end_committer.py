"""Commits the end of claims in the background, with retries.

Invariant: the end of a claim is proposed until control has replied, for a
bounded number of attempts and of claims. A claim whose end is given up stays
open; control then marks it as in doubt and shows it.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.control.machine import ClaimKey, CommandStatus, EndClaim
from persimmonhold.control.shell import ControlLink
from persimmonhold.observability import LogLevel, log_event

_MS_PER_S: Final = 1000
_INITIAL_DELAY_S: Final = 0.1  # doubled after each failed attempt
_MAX_DELAY_S: Final = 5.0
# With these delays, the committer gives up on the end of a claim after about
# 16 minutes or more.
_MAX_ATTEMPTS: Final = 200
_MAX_PENDING_CLAIMS: Final = 4096


@final
class ClaimEndCommitter:
    """Owns the background tasks that end or release claims.

    `given_up_count` counts the claims whose end was not committed.
    """

    __slots__ = ('_link', '_tasks', 'given_up_count')

    def __init__(self, link: ControlLink) -> None:
        """Create a committer that proposes commands through a control link."""
        self.given_up_count = 0
        self._link = link
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return the number of claims whose end is not committed yet."""
        return len(self._tasks)

    def start_end_commit(self, end: EndClaim) -> asyncio.Task[None] | None:
        """Start committing the end of a claim; return None if too many wait."""
        if len(self._tasks) >= _MAX_PENDING_CLAIMS:
            self.given_up_count += 1
            return None
        return self._start_task(self._commit_end(end))

    def start_release(self, claim: ClaimKey) -> None:
        """Start releasing a claim whose commit was not confirmed.

        The request was never dispatched. The claim is proposed again to
        learn its id, which has no effect if it is held already.
        """
        if len(self._tasks) < _MAX_PENDING_CLAIMS:
            self._start_task(self._commit_release(claim))
        else:
            self.given_up_count += 1

    async def wait_and_cancel(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for pending tasks, then cancel the rest."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        if self._tasks:
            log_event(
                'claims_left_open', LogLevel.error, claims=len(self._tasks)
            )
        for task in tuple(self._tasks):
            task.cancel()

    def _start_task(
        self,
        coroutine: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _commit_end(self, end: EndClaim) -> None:
        delay_s = _INITIAL_DELAY_S
        for _ in range(_MAX_ATTEMPTS):
            end_result = await self._link.end_claim(end)
            if not isinstance(end_result, Failed):
                return
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_DELAY_S)
        self.given_up_count += 1

    async def _commit_release(self, claim: ClaimKey) -> None:
        delay_s = _INITIAL_DELAY_S
        for _ in range(_MAX_ATTEMPTS):
            claim_result = await self._link.claim_key(claim)
            if not isinstance(claim_result, Failed):
                command_result = claim_result.unwrap()
                if command_result.status is CommandStatus.claim_granted:
                    await self._commit_end(
                        build_release(claim, command_result.claim)
                    )
                return
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_DELAY_S)
        self.given_up_count += 1


def build_release(claim: ClaimKey, claim_index: int) -> EndClaim:
    """Return the command that releases a granted claim unused."""
    return EndClaim(
        at_ms=wall_clock_ms(), claim=claim_index, request_id=claim.request_id
    )


def wall_clock_ms() -> int:
    """Return the wall-clock time that commands carry."""
    return int(time.time() * _MS_PER_S)
