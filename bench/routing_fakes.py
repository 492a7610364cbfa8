"""Fake engines and caller requests in virtual time, in one process.

The simulation leaves out the network, HTTP, loads and evictions of models,
failures, and callers that retry after a refusal. An engine produces one token
for each request of its batch per step; the prefill of a prompt delays the
step for the whole batch.
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
SAMPLE_INTERVAL_S: Final = 0.05
_MS_PER_S: Final = 1000
_MAX_SAMPLES: Final = 512
_GAP_QUANTILE: Final = 0.95
BOUNDS: Final = Bounds()

Callback: TypeAlias = Callable[[], None]


@final
class VirtualClock:
    """An event loop that advances its clock to the next scheduled event."""

    def __init__(self) -> None:
        """Create a clock at time 0."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._event_count = 0

    def call_at(self, at: float, callback: Callback) -> None:
        """Schedule a callback; callbacks of equal times run in call order."""
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, callback))

    def run_until(self, until: float) -> None:
        """Run all events up to and including the time `until`."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[-1]()


@final
class SimulatedRequest:
    """A request of the workload and its measured result."""

    def __init__(
        self,
        number: int,
        model: str,
        service_class: ServiceClass,
        arrived: float,
        time_limit_s: float,
    ) -> None:
        """Create a request that arrives at a time and has a time limit."""
        self.name = f'r{number}'
        self.model = model
        self.service_class = service_class
        self.arrived_at = arrived
        self.deadline = arrived + time_limit_s
        self.caller = ''
        self.prompt_blocks: tuple[int, ...] = ()
        self.prompt_tokens = 1
        self.output_tokens = 1
        self.delivered_tokens = 0
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self.ended_at: float | None = None
        self.token_gaps_s: list[float] = []

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The hashes of the prompt blocks."""
        return tuple(f'{block:016x}' for block in self.prompt_blocks)

    def record_token(self, now: float) -> None:
        """Record a delivered token and its gap to the previous one."""
        if self.first_token_at is None:
            self.first_token_at = now
        elif self.last_token_at is not None:
            self.token_gaps_s.append(now - self.last_token_at)
        self.last_token_at = now
        self.delivered_tokens += 1

    def is_first_token_late(self) -> bool:
        """Return whether the first token exceeded its latency bound."""
        if self.first_token_at is None:
            return False
        first_ms = (self.first_token_at - self.arrived_at) * _MS_PER_S
        return first_ms > BOUNDS.first_token_ms

    def has_met_bounds(self) -> bool:
        """Return whether the request met every bound of its service class."""
        if self.ended_at is None or self.ended_at > self.deadline:
            return False
        if self.service_class is not ServiceClass.interactive:
            return True
        if self.is_first_token_late():
            return False
        gaps = sorted(self.token_gaps_s) or [0.0]
        gap = gaps[int(len(gaps) * _GAP_QUANTILE)]
        return gap * _MS_PER_S <= BOUNDS.token_gap_ms


@final
class EngineRun:
    """A request at an engine, with callbacks for first token and end."""

    def __init__(
        self,
        request: SimulatedRequest,
        priority: int,
        on_first_token: Callback,
        on_end: Callback,
    ) -> None:
        """Create a run that has produced no token."""
        self.request = request
        self.priority = priority
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.produced_tokens = 0


@final
class FakeEngine:
    """Simulates continuous batching in `SLOTS` slots with a prefix cache."""

    def __init__(
        self, name: str, clock: VirtualClock, event_loss: float
    ) -> None:
        """Create an idle engine that drops a share of its cache events."""
        self.name = name
        self.batch: list[EngineRun] = []
        self.queue: list[tuple[int, int, EngineRun]] = []
        self.prompt_tokens = 0
        self.hit_tokens = 0
        self.last_event_sequence = 0
        self._clock = clock
        self._run_count = 0
        self._is_stepping = False
        self._cached_blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)
        self._event_loss = event_loss
        self._random = random.Random(name)
        self._samples: deque[tuple[float, int, int]] = deque(
            maxlen=_MAX_SAMPLES
        )
        self._record_sample()

    def submit(self, run: EngineRun) -> None:
        """Queue a run by priority, then by order of submission."""
        self._run_count += 1
        heapq.heappush(self.queue, (run.priority, self._run_count, run))
        if not self._is_stepping:
            self._start_step()

    def cancel(self, run: EngineRun) -> None:
        """Remove a run from the batch or the queue."""
        if run in self.batch:
            self.batch.remove(run)
            return
        self.queue = [ranked for ranked in self.queue if ranked[-1] is not run]
        heapq.heapify(self.queue)

    def build_load_report(self, lag_s: float) -> LoadReport:
        """Return the load as it was `lag_s` ago."""
        at, running, waiting = self._samples[0]
        for sample in reversed(self._samples):
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
        """Return cache events after `sequence` that are at least `lag_s` old."""
        published = [
            event
            for at, event in self._events
            if at <= self._clock.now - lag_s and event.sequence > sequence
        ]
        last = published[-1].sequence if published else sequence
        return CacheEventPage(boot_id='b', last=last, events=tuple(published))

    def _record_sample(self) -> None:
        sample = (self._clock.now, len(self.batch), len(self.queue))
        self._samples.append(sample)
        self._clock.call_at(
            self._clock.now + SAMPLE_INTERVAL_S, self._record_sample
        )

    def _start_step(self) -> None:
        tokens = 0
        while self.queue and len(self.batch) < SLOTS:
            run = heapq.heappop(self.queue)[-1]
            self.batch.append(run)
            tokens += self._prefill_prompt(run.request)
        self._is_stepping = bool(self.batch)
        if self._is_stepping:
            duration = STEP_S + tokens / PREFILL_TOKENS_PER_S
            self._clock.call_at(self._clock.now + duration, self._finish_step)

    def _finish_step(self) -> None:
        for run in tuple(self.batch):
            if run not in self.batch:
                continue
            run.request.record_token(self._clock.now)
            run.produced_tokens += 1
            if run.produced_tokens == 1:
                run.on_first_token()
            if run.request.delivered_tokens >= run.request.output_tokens:
                self.batch.remove(run)
                run.on_end()
        self._start_step()

    def _prefill_prompt(self, request: SimulatedRequest) -> int:
        hit_blocks = 0
        for block in request.prompt_blocks:
            if block not in self._cached_blocks:
                break
            hit_blocks += 1
        for block in request.prompt_blocks:
            self._cache_block(block)
        self.prompt_tokens += request.prompt_tokens
        self.hit_tokens += hit_blocks * BLOCK_TOKENS
        return (
            request.prompt_tokens
            + request.delivered_tokens
            - hit_blocks * BLOCK_TOKENS
        )

    def _cache_block(self, block: int) -> None:
        is_new = block not in self._cached_blocks
        self._cached_blocks[block] = None
        self._cached_blocks.move_to_end(block)
        if is_new:
            self._publish_event(block, stored=True)
        if len(self._cached_blocks) > CACHED_BLOCKS:
            evicted, _ = self._cached_blocks.popitem(last=False)
            self._publish_event(evicted, stored=False)

    def _publish_event(self, block: int, *, stored: bool) -> None:
        self.last_event_sequence += 1
        if self._random.random() < self._event_loss:
            return
        event = CacheEvent(
            sequence=self.last_event_sequence,
            target='',
            prefix_hash=f'{block:016x}',
            stored=stored,
        )
        self._events.append((self._clock.now, event))
