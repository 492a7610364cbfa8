"""Simulated entries: the real dispatcher and two baseline policies."""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Final, final

from bench.routing_fakes import (
    BOUNDS,
    EngineRun,
    FakeEngine,
    SimulatedRequest,
    VirtualClock,
)
from persimmonhold.admission import (
    AdmissionRequest,
    Dispatch,
    DispatchAction,
    Dispatcher,
    DispatcherSettings,
    Preempt,
    Refuse,
)
from persimmonhold.messages import ControlView
from persimmonhold.routing import AttemptOutcome, Router, RouterSettings

POLL_INTERVAL_S: Final = 0.25


class FakeEntry(ABC):
    """Base class of simulated entries, which send requests to engines."""

    def __init__(
        self,
        clock: VirtualClock,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
    ) -> None:
        """Create an entry that reads load reports `lag_s` old."""
        self.clock = clock
        self.engines = engines
        self.lag_s = lag_s
        self.refused: dict[str, int] = {}
        self.preemptions = 0

    @abstractmethod
    def submit(self, request: SimulatedRequest) -> None:
        """Accept a request that arrives now."""

    @abstractmethod
    def poll(self) -> None:
        """Read the load reports of all engines."""

    def start(self, offset: float) -> None:
        """Poll every `POLL_INTERVAL_S`, first at `offset`."""
        self.clock.call_at(offset, self._poll_again)

    def _poll_again(self) -> None:
        self.poll()
        self.clock.call_at(self.clock.now + POLL_INTERVAL_S, self._poll_again)


class BaselineEntry(FakeEntry):
    """Sends each request immediately to an engine with a FIFO queue."""

    def __init__(
        self,
        clock: VirtualClock,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an entry without queues of its own."""
        super().__init__(clock, engines, lag_s)
        self.holders = holders

    @abstractmethod
    def choose_engine(self, names: Sequence[str]) -> str:
        """Return the name of the engine that gets the next request."""

    def submit(self, request: SimulatedRequest) -> None:
        """Send a request, and cancel it if it has not ended by its deadline."""
        engine = self.engines[self.choose_engine(self.holders[request.model])]
        run = EngineRun(request, 0, _ignore, partial(self._end, request))
        engine.submit(run)
        expire = partial(self._expire, engine, run)
        self.clock.call_at(request.deadline, expire)

    def _end(self, request: SimulatedRequest) -> None:
        request.ended_at = self.clock.now

    def _expire(self, engine: FakeEngine, run: EngineRun) -> None:
        if run.request.ended_at is None:
            engine.cancel(run)


@final
class RoundRobinEntry(BaselineEntry):
    """Cycles through the engines, with one counter for all models."""

    def __init__(
        self,
        clock: VirtualClock,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an entry that starts with the first holder."""
        super().__init__(clock, engines, lag_s, holders)
        self.decision_count = itertools.count()

    def choose_engine(self, names: Sequence[str]) -> str:
        """Return the next engine in round-robin order."""
        return names[next(self.decision_count) % len(names)]

    def poll(self) -> None:
        """Skip reading; round robin uses no load reports."""


@final
class LeastReportedEntry(BaselineEntry):
    """Chooses the holder of the model with the lowest reported load."""

    def __init__(
        self,
        clock: VirtualClock,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an entry that has read no report; all loads count as 0."""
        super().__init__(clock, engines, lag_s, holders)
        self.reported_loads = dict.fromkeys(engines, 0)

    def choose_engine(self, names: Sequence[str]) -> str:
        """Return the engine with the lowest reported load."""
        return min(names, key=self.reported_loads.__getitem__)

    def poll(self) -> None:
        """Store the running and waiting requests that each engine reports."""
        for name, engine in self.engines.items():
            report = engine.build_load_report(self.lag_s)
            self.reported_loads[name] = report.running + report.waiting


@final
class DispatcherEntry(FakeEntry):
    """Runs the `Dispatcher` and the `Router` of persimmonhold."""

    def __init__(
        self,
        clock: VirtualClock,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        view: ControlView,
        seed: int,
    ) -> None:
        """Create an entry whose VM name and failure domain follow the seed."""
        super().__init__(clock, engines, lag_s)
        rng = random.Random(seed)
        domain = view.vms[seed % len(view.vms)].failure_domain
        settings = RouterSettings()
        self.router = Router(domain, f'v{seed}', settings, rng)
        self.router.apply_view(view, 0)
        self.dispatcher = Dispatcher(
            self.router,
            DispatcherSettings(),
            rng,
        )
        self.dispatcher.handle_view_change(0)
        self.requests: dict[str, SimulatedRequest] = {}
        self.runs: dict[str, tuple[FakeEngine, EngineRun]] = {}
        self._wakeup = float('inf')

    def submit(self, request: SimulatedRequest) -> None:
        """Submit a request to the dispatcher."""
        self.requests[request.name] = request
        admission_request = AdmissionRequest(
            request_id=request.name,
            caller=request.caller,
            owner='o',
            target=request.model,
            service_class=request.service_class,
            deadline=request.deadline,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            prefix_hashes=request.prefixes,
            bounds=BOUNDS,
        )
        self.clock.call_at(request.deadline, partial(self._expire, request))
        self._execute(self.dispatcher.submit(admission_request, self.clock.now))

    def poll(self) -> None:
        """Pass load reports and cache events to the router."""
        now = self.clock.now
        for name, engine in self.engines.items():
            self.router.apply_load_report(
                name, engine.build_load_report(self.lag_s), now
            )
            after = self.router.upstream_states[name].prefix_index.last_sequence
            page = engine.events_after(after, max(0.5, self.lag_s))
            self.router.apply_cache_events(name, page, now)
        self._execute(self.dispatcher.tick(now))

    def _expire(self, request: SimulatedRequest) -> None:
        if request.name in self.requests:
            self._cancel_run(request)
            self.requests.pop(request.name)
            now = self.clock.now
            self._execute(self.dispatcher.abandon_request(request.name, now))

    def _cancel_run(self, request: SimulatedRequest) -> None:
        running = self.runs.pop(request.name, None)
        if running:
            running[0].cancel(running[1])

    def _execute(self, actions: Sequence[DispatchAction]) -> None:
        for action in actions:
            if isinstance(action, Dispatch):
                self._dispatch(action)
            elif isinstance(action, Preempt):
                self._preempt(action.request_id)
            else:
                self._refuse(action)
        self._schedule_wakeup()

    def _refuse(self, action: Refuse) -> None:
        self.requests.pop(action.request_id)
        reason = action.refusal.reason.value
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def _preempt(self, request_id: str) -> None:
        """Cancel a run and requeue its request in a separate event."""
        self.preemptions += 1
        request = self.requests[request_id]
        self._cancel_run(request)
        self.clock.call_at(self.clock.now, partial(self._requeue, request))

    def _requeue(self, request: SimulatedRequest) -> None:
        if request.name in self.requests:
            now = self.clock.now
            actions = self.dispatcher.requeue_preempted(
                request.name, request.delivered_tokens, now
            )
            self._execute(actions)

    def _dispatch(self, action: Dispatch) -> None:
        request = self.requests[action.request_id]
        first = partial(self._record_first_token, request)
        run = EngineRun(
            request, action.priority, first, partial(self._end, request)
        )
        engine = self.engines[action.route.upstream]
        self.runs[request.name] = (engine, run)
        engine.submit(run)

    def _record_first_token(self, request: SimulatedRequest) -> None:
        self.dispatcher.record_first_token(request.name, self.clock.now)

    def _end(self, request: SimulatedRequest) -> None:
        now = self.clock.now
        request.ended_at = now
        self.requests.pop(request.name)
        self.runs.pop(request.name)
        outcome = AttemptOutcome.completed
        self._execute(self.dispatcher.end_request(request.name, outcome, now))

    def _schedule_wakeup(self) -> None:
        wakeup = self.dispatcher.next_wakeup()
        if wakeup is None or self._wakeup <= wakeup:
            return
        self._wakeup = max(wakeup, self.clock.now)
        self.clock.call_at(self._wakeup, self._run_wakeup)

    def _run_wakeup(self) -> None:
        self._wakeup = float('inf')
        self._execute(self.dispatcher.tick(self.clock.now))


def _ignore() -> None:
    """Ignore a first token; baseline entries do not use it."""
