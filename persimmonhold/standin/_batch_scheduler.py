"""Continuous batching of generations on a stand-in engine."""

import asyncio
import heapq
from typing import Final, final

from persimmonhold.messages import PREFIX_BLOCK_CHARACTERS
from persimmonhold.settings import StandinSection
from persimmonhold.standin._generation import Generation
from persimmonhold.standin._prefix_cache import PrefixCache

_MS_PER_S: Final = 1000
_CHARACTERS_PER_TOKEN: Final = 4


@final
class BatchScheduler:
    """Runs up to `slots` generations at once.

    Those with a lower priority number join first, then those that came first.
    Each step produces one token for every generation in the batch. A waiting
    generation joins the batch when a slot is free. Its prefill delays the
    step; prefix cache hits shorten the prefill. `requests_run` counts the
    generations that have joined. No step begins before the loop time
    `frozen_until`.
    """

    __slots__ = (
        '_arrival_count',
        '_cache',
        '_queue',
        '_section',
        '_work_arrived',
        'batch',
        'frozen_until',
        'requests_run',
    )

    def __init__(self, section: StandinSection, cache: PrefixCache) -> None:
        """Create an idle scheduler of an engine with the settings `section`."""
        self.batch: list[Generation] = []
        self.frozen_until = 0.0
        self.requests_run = 0
        self._section = section
        self._cache = cache
        self._queue: list[tuple[int, int, Generation]] = []
        self._arrival_count = 0
        self._work_arrived = asyncio.Event()

    @property
    def waiting_count(self) -> int:
        """The number of generations that wait for a slot."""
        return len(self._queue)

    def submit(self, generation: Generation) -> None:
        """Enqueue a generation behind others of the same priority."""
        self._arrival_count += 1
        ranked = (generation.priority, self._arrival_count, generation)
        heapq.heappush(self._queue, ranked)
        self._work_arrived.set()

    def cancel(self, generation: Generation) -> None:
        """Remove a generation from the batch or the queue, if it is there."""
        if generation in self.batch:
            self.batch.remove(generation)
        self._queue = [
            ranked for ranked in self._queue if ranked[2] is not generation
        ]
        heapq.heapify(self._queue)

    async def run(self) -> None:
        """Execute batch steps until cancelled; wait while there is no work."""
        while True:
            self._work_arrived.clear()
            if not self.batch and not self._queue:
                await self._work_arrived.wait()
            await self._wait_while_frozen()
            prefill_s = self._fill_slots()
            await asyncio.sleep(prefill_s + self._step_s())
            self._produce_tokens()

    async def _wait_while_frozen(self) -> None:
        remaining = self.frozen_until - asyncio.get_running_loop().time()
        if remaining > 0:
            await asyncio.sleep(remaining)

    def _fill_slots(self) -> float:
        """Fill free slots from the queue; return the prefill time (s)."""
        prefill_s = 0.0
        while self._queue and len(self.batch) < self._section.slots:
            generation = heapq.heappop(self._queue)[-1]
            self.requests_run += 1
            self.batch.append(generation)
            prefill_s += self._prefill_s(generation)
        return prefill_s

    def _prefill_s(self, generation: Generation) -> float:
        """Return the prefill time; stores the prompt in the prefix cache."""
        hits = self._cache.look_up_and_store(
            generation.target, generation.prompt
        )
        cached = hits * PREFIX_BLOCK_CHARACTERS // _CHARACTERS_PER_TOKEN
        tokens = max(1, generation.prompt_tokens - cached)
        return tokens / self._section.prefill_tokens_per_second

    def _step_s(self) -> float:
        return self._section.decode_step_ms / _MS_PER_S

    def _produce_tokens(self) -> None:
        for generation in tuple(self.batch):
            if not generation.is_complete:
                generation.produce_token()
            if generation.is_complete:
                self.batch.remove(generation)
