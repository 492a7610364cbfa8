"""Simulates load on entries and plain services, without a network."""

import heapq
import random
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    FleetDemand,
    FleetDemandMeter,
    ForwardDispatcher,
    RetryBounds,
    SendRequest,
)
from tests.fleet_builders import make_facts, make_request, make_update

_REPORT_S = 0.1
_SLOTS = 6
_RESPONSE_SPREAD = 0.3  # shortest and longest response around the mean

# Returns the mean seconds of a response by upstream and time.
ResponseTime: TypeAlias = Callable[[str, float], float]
_Event: TypeAlias = Callable[[], None]


class PlainLoad:
    """Simulates entries that share plain services; `sent` has all sends.

    Requests arrive at equal distances at random entries. `names` are the
    upstreams that updates list.
    """

    def __init__(
        self, entries: int, upstreams: int, seed: int, answer_in: ResponseTime
    ) -> None:
        self.rng = random.Random(seed)
        self.answer_in = answer_in
        self.names = [f'u{one}' for one in range(upstreams)]
        self.entries = [
            ForwardDispatcher('d1', RetryBounds(), random.Random(one))
            for one in range(entries)
        ]
        self.meters = [FleetDemandMeter() for _ in range(entries)]
        self.demand = FleetDemand()
        self.events: list[tuple[float, int, _Event]] = []
        self.count = 0
        self.now = 0.0
        self.sent: list[tuple[float, str]] = []
        self.updates = 0

    def run(self, seconds: float, per_s: float) -> None:
        """Run a load for some more seconds."""
        start = self.now
        for number in range(round(seconds / _REPORT_S)):
            self._schedule(start + number * _REPORT_S, self._exchange_reports)
        for number in range(round(seconds * per_s)):
            self._schedule(start + number / per_s, self._arrive)
        while self.events and self.events[0][0] < start + seconds:
            at, _, event = heapq.heappop(self.events)
            self.now = at
            event()
        self.now = start + seconds

    def shares(self, since: float, until: float) -> dict[str, float]:
        """Return by upstream its sends in relation to an equal share."""
        names = [name for at, name in self.sent if since <= at < until]
        return {
            name: names.count(name) * len(self.names) / len(names)
            for name in self.names
        }

    def _schedule(self, at: float, event: _Event) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, event))

    def _exchange_reports(self) -> None:
        self.updates += 1
        for number, entry in enumerate(self.entries):
            report = self.meters[number].build_report(entry, self.now)
            self.demand.record_report(f'e{number}', report, self.now)
        facts = [make_facts(name, (), slots=_SLOTS) for name in self.names]
        for number, entry in enumerate(self.entries):
            update = msgspec.structs.replace(
                make_update(*facts, sequence=self.updates),
                others=self.demand.sum_other_loads(f'e{number}'),
                waiting=self.demand.sum_other_waiting(f'e{number}'),
            )
            self._perform(entry, entry.apply_update(update, self.now))

    def _arrive(self) -> None:
        entry = self.rng.choice(self.entries)
        self.count += 1
        request = msgspec.structs.replace(
            make_request(self.count, self.now, model=''), is_engine=False
        )
        self._perform(entry, entry.submit_request(request, self.now))

    def _perform(
        self, entry: ForwardDispatcher, actions: tuple[object, ...]
    ) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                name = action.upstream.name
                self.sent.append((self.now, name))
                spread = self.rng.uniform(
                    1 - _RESPONSE_SPREAD, 1 + _RESPONSE_SPREAD
                )
                taken_s = self.answer_in(name, self.now) * spread
                self._schedule_answer(entry, action.number, taken_s)

    def _schedule_answer(
        self, entry: ForwardDispatcher, number: int, taken_s: float
    ) -> None:
        def answer() -> None:
            entry.record_first_byte(number, self.now)
            ended = entry.finish_request(number, AttemptEnd.answered, self.now)
            self._perform(entry, ended)

        self._schedule(self.now + taken_s, answer)
