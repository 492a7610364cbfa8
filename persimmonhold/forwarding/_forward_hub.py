"""Connects the requests of one entry with their dispatcher.

Invariant: each request waits for at most one action at a time, and gets the
actions in the order in which the dispatcher gave them.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import final

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    EntryReport,
    FleetDemandMeter,
    FleetUpdate,
    ForwardAction,
    ForwardDispatcher,
)


@final
class ForwardHub:
    """Owns the dispatcher, who waits for it, and its timer.

    `clock` counts the time in which the VM was suspended. `has_waiting` is
    set when a request begins to wait.
    """

    __slots__ = (
        'clock',
        'demand_meter',
        'dispatcher',
        'request_numbers',
        'request_waiting',
        'timer',
        'waiters',
    )

    def __init__(
        self,
        dispatcher: ForwardDispatcher,
        clock: Callable[[], float],
    ) -> None:
        """Create a hub without requests."""
        self.dispatcher = dispatcher
        self.clock = clock
        self.demand_meter = FleetDemandMeter()
        self.request_waiting = asyncio.Event()
        self.request_numbers = itertools.count(1)
        self.waiters: dict[int, asyncio.Future[ForwardAction]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def submit(self, ticket: DispatchRequest) -> asyncio.Future[ForwardAction]:
        """Ask for an upstream; the future gets the first action."""
        self.demand_meter.record_arrival(ticket)
        waiter = self._wait(ticket.number)
        self._deliver(self.dispatcher.submit(ticket, self.clock()))
        if not waiter.done():
            self.request_waiting.set()
        return waiter

    def retry(
        self,
        number: int,
        attempt_end: AttemptEnd,
    ) -> asyncio.Future[ForwardAction]:
        """Ask for another upstream after an attempt that ended."""
        waiter = self._wait(number)
        self._deliver(self.dispatcher.retry(number, attempt_end, self.clock()))
        return waiter

    def record_first_byte(self, number: int) -> None:
        """Tell of the first byte of an answer."""
        self.dispatcher.record_first_byte(number, self.clock())

    def record_adapter_loaded(self, number: int) -> None:
        """Tell that the adapter of a request was loaded."""
        self.dispatcher.record_adapter_loaded(number, self.clock())

    def finish(self, number: int, attempt_end: AttemptEnd) -> None:
        """Forget a request."""
        waiter = self.waiters.pop(number, None)
        if waiter is not None:
            waiter.cancel()
        self._deliver(self.dispatcher.finish(number, attempt_end, self.clock()))

    def apply_update(self, update: FleetUpdate) -> None:
        """Take an update of the facts."""
        self._deliver(self.dispatcher.apply_update(update, self.clock()))

    def build_report(self) -> EntryReport:
        """Return what to report since the last call."""
        return self.demand_meter.build_report(self.dispatcher)

    def close(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _wait(self, number: int) -> asyncio.Future[ForwardAction]:
        waiter: asyncio.Future[ForwardAction] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters[number] = waiter
        return waiter

    def _deliver(self, actions: Iterable[ForwardAction]) -> None:
        for action in actions:
            waiter = self.waiters.pop(action.number, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(action)
        self._schedule()

    def _schedule(self) -> None:
        wakeup = self.dispatcher.next_dispatch_at()
        if wakeup is None or self.timer is not None:
            return
        delay_s = max(0, wakeup - self.clock())
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self._deliver(self.dispatcher.dispatch_waiting(self.clock()))
