"""Entries and control in virtual time, with upstreams that state brittleness."""

import asyncio
import random
from collections import deque
from pathlib import Path
from typing import Final

import pytest
from returns.result import Result, Success

from persimmonhold.failures import Failure
from persimmonhold.fleet import AttemptEnd, ListedUpstream, SendRequest
from persimmonhold.forwarding import ForwardServices
from persimmonhold.forwarding._attempt_result import (
    AttemptResult,
    CompleteResponse,
)
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.forwarding._forward_response_writer import (
    ForwardResponseWriter,
)
from persimmonhold.web import ResponseHead
from tests.limited_fleet import LimitedFleet, ListClient, SimulatedAttempt

_LINK_DELAY_S: Final = 0.001
_WAITING_ROOM: Final = 3  # requests that a sound upstream lets wait
# From this time after its first statement, an upstream lets none wait.
_CONTACT_S: Final = 3.0
_WINDOW_S: Final = 1.0
_DOWN_S: Final = 3.0


class BrittleUpstream:
    """A process with slots that falls over when it refuses too many requests.

    `falls` has the times of its falls, `refused` those of its refusals.
    `states` is whether it names its bound in responses.
    """

    def __init__(self, name: str, slots: int, rng: random.Random) -> None:
        self.name = name
        self.slots = slots
        self.rng = rng
        self.born_ms = 1
        self.refusals_per_s: float | None = None
        self.states = True
        self.stated_at: float | None = None
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.refused: list[float] = []
        self.falls: list[float] = []
        self.answered: list[float] = []
        self.down_until = 0.0

    @property
    def stated(self) -> float | None:
        """The bound that it names in a response."""
        return self.refusals_per_s if self.states else None

    def find_waiting_room(self, now: float) -> int:
        """Return how many requests may wait for a slot."""
        is_small = (
            self.refusals_per_s is not None
            and self.stated_at is not None
            and now >= self.stated_at + _CONTACT_S
        )
        return 0 if is_small else _WAITING_ROOM

    def state(self, now: float) -> float | None:
        """Return the bound that a response names, and record its time."""
        if self.stated is not None and self.stated_at is None:
            self.stated_at = now
        return self.stated

    def refuse(self, now: float) -> None:
        """Refuse a request for want of room; fall over after too many."""
        self.refused.append(now)
        bound = self.refusals_per_s
        is_due = (
            bound is not None
            and self.stated_at is not None
            and now >= self.stated_at + _CONTACT_S
        )
        latest = [at for at in self.refused if at > now - _WINDOW_S]
        if is_due and bound is not None and len(latest) > bound:
            self.fall(now)

    def fall(self, now: float) -> None:
        """End the process; another one replaces it after some seconds."""
        self.falls.append(now)
        self.refused.clear()
        self.born_ms += 1
        self.down_until = now + _DOWN_S
        self.running = 0
        self.waiting.clear()

    def end_request(self, born_ms: int) -> None:
        """Pass the slot of a request on, or free it."""
        if born_ms != self.born_ms:
            return
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1


class BrittleListClient(ListClient):
    """A platform that lists upstreams with their slots."""

    def __init__(self, brittle: list[BrittleUpstream]) -> None:
        super().__init__([])
        self.brittle = brittle

    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """List the upstreams that are up."""
        now = asyncio.get_running_loop().time()
        self.reads.append(now)
        return Success(
            tuple(
                ListedUpstream(
                    name=one.name,
                    service='models',
                    address='127.0.0.1:1',
                    failure_domain='d1',
                    slots=one.slots,
                    born_ms=one.born_ms,
                )
                for one in self.brittle
                if now >= one.down_until
            )
        )


class BrittleFleet(LimitedFleet):
    """Entries that share brittle upstreams with few slots."""

    def __init__(
        self,
        entry_count: int,
        directory: Path,
        patch: pytest.MonkeyPatch,
        seed: int = 1,
        upstreams: int = 3,
        slots: int = 6,
        work_s: float = 0.08,
    ) -> None:
        super().__init__(entry_count, directory, patch, seed)
        self.rng = random.Random(seed)
        self.work_s = work_s
        names = [f'b{number}' for number in range(upstreams)]
        self.brittle = {
            name: BrittleUpstream(name, slots, self.rng) for name in names
        }
        self.client = BrittleListClient(list(self.brittle.values()))

    def start_entry(self, name: str) -> None:
        """Start an entry that knows how many there are."""
        super().start_entry(name)
        dispatcher = self.services[name].hub.dispatcher
        dispatcher.entry_count = len(self.entries)

    @property
    def capacity_per_s(self) -> float:
        """The requests a second that all upstreams together can run."""
        slots = sum(one.slots for one in self.brittle.values())
        return slots / self.work_s

    @property
    def fall_count(self) -> int:
        """The falls of all upstreams."""
        return sum(len(one.falls) for one in self.brittle.values())

    @property
    def allowed_falls(self) -> float:
        """The falls that are within the bound."""
        return 2 + len(self.brittle) / 10

    def make_brittle(self, refusals_per_s: float | None) -> None:
        """Have all upstreams become brittle, or sound again."""
        for one in self.brittle.values():
            one.refusals_per_s = refusals_per_s
            one.stated_at = None

    def count_answered(self, since: float) -> int:
        """Count the requests that ran to their end since then."""
        return sum(
            at >= since for one in self.brittle.values() for at in one.answered
        )

    def build_attempt(
        self,
        services: ForwardServices,
        request: ForwardRequest,
        response_writer: ForwardResponseWriter,
        event_framer: object,
        action: SendRequest,
        limits: object,
    ) -> SimulatedAttempt:
        """Return what stands for an attempt at an upstream."""
        return _BrittleAttempt(self, services, action)


class _BrittleAttempt(SimulatedAttempt):
    """An attempt at an upstream that may refuse it for want of room."""

    def __init__(
        self,
        world: BrittleFleet,
        services: ForwardServices,
        action: SendRequest,
    ) -> None:
        self.world = world
        self.services = services
        self.action = action
        self.upstream = world.brittle[action.upstream.name]

    async def run(self) -> AttemptResult:
        """Arrive at the upstream, and return with its response."""
        sent_at = self.services.hub.clock()
        await asyncio.sleep(_LINK_DELAY_S)
        upstream = self.upstream
        if self.world.now < upstream.down_until:
            return AttemptResult(end=AttemptEnd.unreachable, may_have_run=False)
        if upstream.running < upstream.slots:
            upstream.running += 1
        elif len(upstream.waiting) < upstream.find_waiting_room(self.world.now):
            if not await self._wait_for_slot():
                return AttemptResult(
                    end=AttemptEnd.unreachable, may_have_run=False
                )
        else:
            upstream.refuse(self.world.now)
            await self._record_statement(sent_at)
            return AttemptResult(end=AttemptEnd.full, may_have_run=False)
        return await self._work(sent_at)

    async def _wait_for_slot(self) -> bool:
        """Wait for a slot; return False if the upstream falls over."""
        upstream = self.upstream
        born_ms = upstream.born_ms
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        upstream.waiting.append(waiter)
        try:
            await asyncio.wait_for(waiter, 5)
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                upstream.end_request(born_ms)
            raise
        return upstream.born_ms == born_ms

    async def _work(self, sent_at: float) -> AttemptResult:
        upstream = self.upstream
        born_ms = upstream.born_ms
        try:
            await asyncio.sleep(
                self.world.work_s * upstream.rng.uniform(0.5, 1.5)
            )
        finally:
            upstream.end_request(born_ms)
        if upstream.born_ms != born_ms:
            return AttemptResult(end=AttemptEnd.unreachable, may_have_run=True)
        upstream.answered.append(self.world.now)
        await self._record_statement(sent_at)
        head = ResponseHead(status=200, headers=())
        return AttemptResult(
            end=AttemptEnd.answered,
            may_have_run=True,
            response=CompleteResponse(head, b''),
        )

    async def _record_statement(self, sent_at: float) -> None:
        stated = self.upstream.state(self.world.now)
        await asyncio.sleep(_LINK_DELAY_S)
        self.services.hub.brittle.record_response(
            self.action.upstream.process_key, stated, sent_at
        )
