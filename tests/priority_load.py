"""Simulates requests of several priorities that share too few upstreams.

Runs in virtual time, without a network, on the engines of `engine_load`. What
a response is worth depends on its kind and on whether its first event was in
time.
"""

import random
from typing import Final, NamedTuple, TypeAlias

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    FleetDemand,
    FleetDemandMeter,
    ForwardAction,
    ForwardDispatcher,
    RefuseRequest,
    RequestProfile,
    RetryBounds,
    SendRequest,
)
from tests.engine_load import SimulatedEngine, Stream
from tests.fleet_builders import make_facts, make_route, make_update

_TICK_S: Final = 0.005
_REPORT_S: Final = 0.1
_COOL_DOWN_S: Final = 13  # later requests may not end within the run
_ENDS_S: Final = 30.0
_SLOTS: Final = 24
_MODELS: Final = ('m1', 'm2')


class RequestKind(NamedTuple):
    """One kind of requests; `in_time` and `late` are what one earns."""

    name: str
    priority: int
    target_s: float
    waits_s: float
    prompt: int
    tokens: int
    in_time: float
    late: float


URGENT: Final = RequestKind('urgent', 0, 0.507, 2.4, 826, 288, 1.9, 0.24)
TOLERANT: Final = RequestKind('tolerant', 5, 8.0, 12.0, 826, 288, 1.1, 0.47)
CHECK: Final = RequestKind('check', 0, 0.611, 2.4, 2400, 24, 2.3, 0.69)


class Arrivals(NamedTuple):
    """How often requests of a kind arrive, and those of a workspace.

    In the first half of each `period_s` they arrive `surge` times as often as
    stated, and accordingly less often in the second half.
    """

    kind: RequestKind
    per_s: float
    surge: float = 1.0
    period_s: float = 8.0
    workspace: str = ''

    def rate_at(self, now: float) -> float:
        """Return the rate at a time."""
        is_first_half = now % self.period_s * 2 < self.period_s
        factor = self.surge if is_first_half else 2 - self.surge
        return self.per_s * factor


class Outcome:
    """What became of a request."""

    def __init__(
        self, arrivals: Arrivals, request: DispatchRequest, stream: Stream
    ) -> None:
        self.kind = arrivals.kind
        self.workspace = arrivals.workspace
        self.request = request
        self.stream = stream
        self.retry_after_s: float | None = None
        self.refused_after_s = 0.0
        self.sent_after_s: float | None = None

    @property
    def credit(self) -> float:
        """What the response earned."""
        first_s = self.stream.first_s
        if first_s is None or self.stream.tokens_left > 0:
            return 0
        is_in_time = first_s <= self.kind.target_s
        return self.kind.in_time if is_in_time else self.kind.late

    @property
    def tokens(self) -> int:
        """The tokens of the request that was served, or 0."""
        if self.stream.first_s is None:
            return 0
        return self.stream.prompt + self.kind.tokens


Outcomes: TypeAlias = list[Outcome]


class PriorityLoad:
    """Entries that share engines which hold the same two models."""

    def __init__(self, entries: int, engines: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.engines = {f'u{one}': SimulatedEngine() for one in range(engines)}
        self.entries = [
            ForwardDispatcher('d1', RetryBounds(), random.Random(one))
            for one in range(entries)
        ]
        self.meters = [FleetDemandMeter() for _ in range(entries)]
        self.demand = FleetDemand()
        self.outcomes: dict[int, Outcome] = {}
        self.entry_of: dict[int, ForwardDispatcher] = {}
        self.updates = 0

    def run(self, seconds: float, load: tuple[Arrivals, ...]) -> Outcomes:
        """Run a load; return what became of the requests."""
        for tick in range(round(seconds / _TICK_S)):
            now = tick * _TICK_S
            if tick % round(_REPORT_S / _TICK_S) == 0:
                self._exchange_reports(now)
                self._give_up(now)
            for arrivals in load:
                if arrivals.rate_at(now) * _TICK_S > self.rng.random():
                    self.submit(arrivals, now)
            for entry in self.entries:
                self._perform(entry.dispatch_waiting(now), now)
            self._advance(now)
        return [
            one
            for one in self.outcomes.values()
            if one.request.arrived_at < seconds - _COOL_DOWN_S
        ]

    def submit(self, arrivals: Arrivals, now: float) -> None:
        """Submit a request of a kind to a random entry."""
        kind = arrivals.kind
        number = len(self.outcomes) + 1
        mean = kind.prompt - 100
        prompt = min(4 * kind.prompt, round(self.rng.expovariate(1 / mean)))
        route = msgspec.structs.replace(
            make_route(priority=kind.priority),
            target_ms=round(kind.target_s * 1000),
        )
        request = DispatchRequest(
            number=number,
            service='models',
            route=route,
            profile=RequestProfile(
                request_id=f'r{number}',
                model=self.rng.choice(_MODELS),
                prompt_tokens=prompt + 100,
                output_tokens=kind.tokens,
            ),
            arrived_at=now,
            due_at=now + kind.target_s,
            caller_waits_until=now + kind.waits_s,
            ends_at=now + _ENDS_S,
            is_engine=True,
            workspace=arrivals.workspace,
        )
        stream = Stream(number, prompt + 100, kind.tokens)
        stream.arrived_at = now
        self.outcomes[number] = Outcome(arrivals, request, stream)
        entry = self.rng.choice(self.entries)
        self.entry_of[number] = entry
        self._perform(entry.submit_request(request, now), now)

    def _exchange_reports(self, now: float) -> None:
        self.updates += 1
        for number, entry in enumerate(self.entries):
            report = self.meters[number].build_report(entry, now)
            self.demand.record_report(f'e{number}', report, now)
        facts = [make_facts(one, _MODELS, slots=_SLOTS) for one in self.engines]
        for number, entry in enumerate(self.entries):
            update = msgspec.structs.replace(
                make_update(*facts, sequence=self.updates),
                others=self.demand.sum_other_loads(f'e{number}'),
                waiting=self.demand.sum_other_waiting(f'e{number}'),
            )
            self._perform(entry.apply_update(update, now), now)

    def _give_up(self, now: float) -> None:
        """Have the callers disconnect that have waited for too long."""
        for number, one in self.outcomes.items():
            is_unanswered = one.stream.first_s is None
            if is_unanswered and now > one.request.caller_waits_until:
                one.stream.tokens_left = max(1, one.stream.tokens_left)
                ended = self.entry_of[number].finish_request(
                    number, AttemptEnd.cancelled, now
                )
                self._cancel(one.stream)
                self._perform(ended, now)

    def _cancel(self, stream: Stream) -> None:
        for engine in self.engines.values():
            if stream in engine.reading:
                engine.reading.remove(stream)

    def _perform(self, actions: tuple[ForwardAction, ...], now: float) -> None:
        for action in actions:
            outcome = self.outcomes[action.number]
            waited_s = now - outcome.request.arrived_at
            if isinstance(action, RefuseRequest):
                outcome.retry_after_s = action.retry_after_s
                outcome.refused_after_s = waited_s
            elif isinstance(action, SendRequest):
                outcome.sent_after_s = waited_s
                engine = self.engines[action.upstream.name]
                engine.enqueue(outcome.stream)

    def _advance(self, now: float) -> None:
        for engine in self.engines.values():
            for stream in engine.advance(now):
                entry = self.entry_of[stream.number]
                entry.record_first_byte(stream.number, now)
                if stream.tokens_left <= 0:
                    ended = entry.finish_request(
                        stream.number, AttemptEnd.answered, now
                    )
                    self._perform(ended, now)


def credit_share(outcomes: Outcomes, kind: RequestKind) -> float:
    """Return the share of its credit that a kind of requests earned."""
    of_kind = [one for one in outcomes if one.kind is kind]
    earned = sum(one.credit for one in of_kind)
    return earned / (len(of_kind) * kind.in_time)


def total_credit(outcomes: Outcomes) -> float:
    """Return the share of all credit that was earned."""
    possible = sum(one.kind.in_time for one in outcomes)
    return sum(one.credit for one in outcomes) / possible
