"""Entries in virtual time: ours, and two baselines with plain queues."""

import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Final, final

from bench.routing_fakes import BOUNDS, FakeEngine, Job, Run, VirtualTime
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

POLL_S: Final = 0.25


class FakeEntry(ABC):
    """An entry that sends jobs to engines."""

    def __init__(
        self,
        clock: VirtualTime,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
    ) -> None:
        """Create an entry."""
        self.clock = clock
        self.engines = engines
        self.lag_s = lag_s
        self.refused: dict[str, int] = {}
        self.preemptions = 0

    @abstractmethod
    def arrive(self, job: Job) -> None:
        """Take a job."""

    @abstractmethod
    def poll(self) -> None:
        """Read the load reports."""

    def start(self, offset: float) -> None:
        """Poll from a time on."""
        self.clock.call_at(offset, self._poll_again)

    def _poll_again(self) -> None:
        self.poll()
        self.clock.call_at(self.clock.now + POLL_S, self._poll_again)


class PlainEntry(FakeEntry):
    """Sends each job at once to an engine whose queue is first come."""

    def __init__(
        self,
        clock: VirtualTime,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an entry without queues of its own."""
        super().__init__(clock, engines, lag_s)
        self.holders = holders

    @abstractmethod
    def choose(self, names: Sequence[str]) -> str:
        """Return an engine."""

    def arrive(self, job: Job) -> None:
        """Send a job; its caller leaves at the deadline."""
        engine = self.engines[self.choose(self.holders[job.model])]
        run = Run(job, 0, _ignore, partial(self._end, job))
        engine.submit(run)
        expire = partial(self._expire, engine, run)
        self.clock.call_at(job.deadline, expire)

    def _end(self, job: Job) -> None:
        job.ended_at = self.clock.now

    def _expire(self, engine: FakeEngine, run: Run) -> None:
        if run.job.ended_at is None:
            engine.cancel(run)


@final
class RoundRobinEntry(PlainEntry):
    """Takes the holders of a model in turn."""

    def __init__(
        self,
        clock: VirtualTime,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an entry that begins with the first holder."""
        super().__init__(clock, engines, lag_s, holders)
        self.turns = itertools.count()

    def choose(self, names: Sequence[str]) -> str:
        """Return the next engine."""
        return names[next(self.turns) % len(names)]

    def poll(self) -> None:
        """Need no reports."""


@final
class LeastReportedEntry(PlainEntry):
    """Takes the holder with the least reported load."""

    def __init__(
        self,
        clock: VirtualTime,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        holders: Mapping[str, Sequence[str]],
    ) -> None:
        """Create an entry that has seen no report."""
        super().__init__(clock, engines, lag_s, holders)
        self.loads = dict.fromkeys(engines, 0)

    def choose(self, names: Sequence[str]) -> str:
        """Return the engine that reported the least."""
        return min(names, key=self.loads.__getitem__)

    def poll(self) -> None:
        """Remember the reports."""
        for name, engine in self.engines.items():
            report = engine.report(self.lag_s)
            self.loads[name] = report.running + report.waiting


@final
class DispatcherEntry(FakeEntry):
    """Drives the dispatcher and the router of the product."""

    def __init__(
        self,
        clock: VirtualTime,
        engines: Mapping[str, FakeEngine],
        lag_s: float,
        view: ControlView,
        seed: int,
    ) -> None:
        """Create an entry named by its seed."""
        super().__init__(clock, engines, lag_s)
        source = random.Random(seed)
        domain = view.vms[seed % len(view.vms)].failure_domain
        settings = RouterSettings()
        self.router = Router(domain, f'v{seed}', settings, source)
        self.router.apply_view(view, 0)
        self.dispatcher = Dispatcher(
            self.router,
            DispatcherSettings(),
            source,
        )
        self.dispatcher.handle_view_change(0)
        self.jobs: dict[str, Job] = {}
        self.runs: dict[str, tuple[FakeEngine, Run]] = {}
        self._wakeup = float('inf')

    def arrive(self, job: Job) -> None:
        """Ask for admission."""
        self.jobs[job.name] = job
        ticket = AdmissionRequest(
            request_id=job.name,
            caller=job.caller,
            owner='o',
            target=job.model,
            service_class=job.service_class,
            deadline=job.deadline,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            prefix_hashes=job.prefixes,
            bounds=BOUNDS,
        )
        self.clock.call_at(job.deadline, partial(self._expire, job))
        self._perform(self.dispatcher.submit(ticket, self.clock.now))

    def poll(self) -> None:
        """Give the router load reports and cache events."""
        now = self.clock.now
        for name, engine in self.engines.items():
            self.router.apply_load_report(name, engine.report(self.lag_s), now)
            after = self.router.upstream_states[name].prefix_index.last_sequence
            page = engine.events_after(after, max(0.5, self.lag_s))
            self.router.apply_cache_events(name, page, now)
        self._perform(self.dispatcher.tick(now))

    def _expire(self, job: Job) -> None:
        if job.name in self.jobs:
            self._stop(job)
            self.jobs.pop(job.name)
            now = self.clock.now
            self._perform(self.dispatcher.abandon_request(job.name, now))

    def _stop(self, job: Job) -> None:
        running = self.runs.pop(job.name, None)
        if running:
            running[0].cancel(running[1])

    def _perform(self, actions: Sequence[DispatchAction]) -> None:
        for action in actions:
            if isinstance(action, Dispatch):
                self._dispatch(action)
            elif isinstance(action, Preempt):
                self._preempt(action.request_id)
            else:
                self._refuse(action)
        self._plan_wakeup()

    def _refuse(self, action: Refuse) -> None:
        self.jobs.pop(action.request_id)
        reason = action.refusal.reason.value
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def _preempt(self, name: str) -> None:
        """Stop a run; the dispatcher has it back in an event of its own."""
        self.preemptions += 1
        job = self.jobs[name]
        self._stop(job)
        self.clock.call_at(self.clock.now, partial(self._resume, job))

    def _resume(self, job: Job) -> None:
        if job.name in self.jobs:
            now = self.clock.now
            again = self.dispatcher.requeue_preempted(
                job.name, job.delivered, now
            )
            self._perform(again)

    def _dispatch(self, action: Dispatch) -> None:
        job = self.jobs[action.request_id]
        first = partial(self._take_first_token, job)
        run = Run(job, action.priority, first, partial(self._end, job))
        engine = self.engines[action.route.upstream]
        self.runs[job.name] = (engine, run)
        engine.submit(run)

    def _take_first_token(self, job: Job) -> None:
        self.dispatcher.record_first_token(job.name, self.clock.now)

    def _end(self, job: Job) -> None:
        now = self.clock.now
        job.ended_at = now
        self.jobs.pop(job.name)
        self.runs.pop(job.name)
        outcome = AttemptOutcome.completed
        self._perform(self.dispatcher.end_request(job.name, outcome, now))

    def _plan_wakeup(self) -> None:
        wakeup = self.dispatcher.next_wakeup()
        if wakeup is None or self._wakeup <= wakeup:
            return
        self._wakeup = max(wakeup, self.clock.now)
        self.clock.call_at(self._wakeup, self._wake)

    def _wake(self) -> None:
        self._wakeup = float('inf')
        self._perform(self.dispatcher.tick(self.clock.now))


def _ignore() -> None:
    """Take a first token that nobody asks for."""
