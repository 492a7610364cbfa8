"""Fakes of engines and of callers in virtual time, one process, no network.

Left out: the network, HTTP, memory moves, failures, and callers that come
back after a refusal. An engine makes one token for each request of its batch
in a step; reading a prompt delays the step of everybody in the batch.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Final, TypeAlias, final

from persimmonhold.catalogue import Bounds, ServiceClass
from persimmonhold.messages import CacheEvent, CacheEventPage, LoadReport

SLOTS: Final = 16
STEP_S: Final = 0.02
PREFILL_TOKENS_PER_S: Final = 8000
BLOCK_TOKENS: Final = 64
CACHED_BLOCKS: Final = 96
REPORT_EVERY_S: Final = 0.05
_MS_PER_S: Final = 1000
_HISTORY: Final = 512
_GAP_QUANTILE: Final = 0.95
BOUNDS: Final = Bounds()

Callback: TypeAlias = Callable[[], None]


@final
class VirtualClock:
    """A clock that jumps from event to event."""

    def __init__(self) -> None:
        """Create a clock at zero."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._count = 0

    def call_at(self, at: float, callback: Callback) -> None:
        """Call back at a time; equal times keep their order."""
        self._count += 1
        heapq.heappush(self._events, (at, self._count, callback))

    def run_until(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[-1]()


@final
class SimulatedRequest:
    """A request of the workload and what became of it."""

    def __init__(
        self,
        number: int,
        model: str,
        service_class: ServiceClass,
        arrived: float,
        window_s: float,
    ) -> None:
        """Create a request that arrives."""
        self.name = f'r{number}'
        self.model = model
        self.service_class = service_class
        self.arrived = arrived
        self.deadline = arrived + window_s
        self.caller = ''
        self.blocks: tuple[int, ...] = ()
        self.prompt_tokens = 1
        self.output_tokens = 1
        self.delivered = 0
        self.first_at: float | None = None
        self.last_at: float | None = None
        self.ended_at: float | None = None
        self.gaps: list[float] = []

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The hashes of the prompt's blocks."""
        return tuple(f'{block:016x}' for block in self.blocks)

    def take_token(self, now: float) -> None:
        """Deliver a token."""
        if self.first_at is None:
            self.first_at = now
        elif self.last_at is not None:
            self.gaps.append(now - self.last_at)
        self.last_at = now
        self.delivered += 1

    def is_late(self) -> bool:
        """Tell whether the first token came late."""
        if self.first_at is None:
            return False
        first_ms = (self.first_at - self.arrived) * _MS_PER_S
        return first_ms > BOUNDS.first_token_ms

    def is_attained(self) -> bool:
        """Tell whether every bound of the class was met."""
        if self.ended_at is None or self.ended_at > self.deadline:
            return False
        if self.service_class is not ServiceClass.interactive:
            return True
        if self.is_late():
            return False
        gaps = sorted(self.gaps) or [0.0]
        gap = gaps[int(len(gaps) * _GAP_QUANTILE)]
        return gap * _MS_PER_S <= BOUNDS.token_gap_ms


@final
class EngineRun:
    """A job at an engine and whom to tell."""

    def __init__(
        self,
        job: SimulatedRequest,
        priority: int,
        on_first: Callback,
        on_end: Callback,
    ) -> None:
        """Create a run that has not begun."""
        self.job = job
        self.priority = priority
        self.on_first = on_first
        self.on_end = on_end
        self.made = 0


@final
class FakeEngine:
    """Continuous batching in `SLOTS` places with a prefix cache."""

    def __init__(self, name: str, clock: VirtualClock, loss: float) -> None:
        """Create an idle engine that loses a share of its cache events."""
        self.name = name
        self.batch: list[EngineRun] = []
        self.queue: list[tuple[int, int, EngineRun]] = []
        self.prompt_tokens = 0
        self.hit_tokens = 0
        self.last_event = 0
        self._clock = clock
        self._count = 0
        self._is_stepping = False
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)
        self._loss = loss
        self._random = random.Random(name)
        self._history: deque[tuple[float, int, int]] = deque(maxlen=_HISTORY)
        self._sample()

    def submit(self, run: EngineRun) -> None:
        """Queue a run by priority."""
        self._count += 1
        heapq.heappush(self.queue, (run.priority, self._count, run))
        if not self._is_stepping:
            self._step()

    def cancel(self, run: EngineRun) -> None:
        """Forget a run."""
        if run in self.batch:
            self.batch.remove(run)
            return
        self.queue = [ranked for ranked in self.queue if ranked[-1] is not run]
        heapq.heapify(self.queue)

    def report(self, lag_s: float) -> LoadReport:
        """Return the load as it was."""
        at, running, waiting = self._history[0]
        for sample in reversed(self._history):
            if sample[0] <= self._clock.now - lag_s:
                at, running, waiting = sample
                break
        if not lag_s:
            at, running = self._clock.now, len(self.batch)
            waiting = len(self.queue)
        return LoadReport(
            boot_id='b',
            age_ms=(self._clock.now - at) * _MS_PER_S,
            running=running,
            waiting=waiting,
            slots=SLOTS,
            kv_used_fraction=0,
            prefill_tokens_per_second=PREFILL_TOKENS_PER_S,
            decode_step_ms=STEP_S * _MS_PER_S,
        )

    def events_after(self, sequence: int, lag_s: float) -> CacheEventPage:
        """Return the cache events that are old enough to be published."""
        due = [
            event
            for at, event in self._events
            if at <= self._clock.now - lag_s and event.sequence > sequence
        ]
        last = due[-1].sequence if due else sequence
        return CacheEventPage(boot_id='b', last=last, events=tuple(due))

    def _sample(self) -> None:
        sample = (self._clock.now, len(self.batch), len(self.queue))
        self._history.append(sample)
        self._clock.call_at(self._clock.now + REPORT_EVERY_S, self._sample)

    def _step(self) -> None:
        tokens = 0
        while self.queue and len(self.batch) < SLOTS:
            run = heapq.heappop(self.queue)[-1]
            self.batch.append(run)
            tokens += self._read_prompt(run.job)
        self._is_stepping = bool(self.batch)
        if self._is_stepping:
            duration = STEP_S + tokens / PREFILL_TOKENS_PER_S
            self._clock.call_at(self._clock.now + duration, self._finish)

    def _finish(self) -> None:
        for run in tuple(self.batch):
            if run not in self.batch:
                continue
            run.job.take_token(self._clock.now)
            run.made += 1
            if run.made == 1:
                run.on_first()
            if run.job.delivered >= run.job.output_tokens:
                self.batch.remove(run)
                run.on_end()
        self._step()

    def _read_prompt(self, job: SimulatedRequest) -> int:
        hits = 0
        for block in job.blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in job.blocks:
            self._store(block)
        self.prompt_tokens += job.prompt_tokens
        self.hit_tokens += hits * BLOCK_TOKENS
        return job.prompt_tokens + job.delivered - hits * BLOCK_TOKENS

    def _store(self, block: int) -> None:
        is_new = block not in self._blocks
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if is_new:
            self._publish(block, stored=True)
        if len(self._blocks) > CACHED_BLOCKS:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, stored=False)

    def _publish(self, block: int, *, stored: bool) -> None:
        self.last_event += 1
        if self._random.random() < self._loss:
            return
        event = CacheEvent(
            sequence=self.last_event,
            target='',
            prefix_hash=f'{block:016x}',
            stored=stored,
        )
        self._events.append((self._clock.now, event))
