"""The capacity that one model needs.

Load is measured in upstreams: the slots that its requests take, relative to
the slots of an upstream, plus the share of time spent on reading prompts.
"""

import math
from typing import Final, final

from persimmonhold.fleet._model_demand import ModelDemand

# Averaging time that follows a shift of demand within one to two seconds.
_FAST_AVERAGE_S: Final = 0.8
# Averaging time that retains copies between bursts of requests.
_SLOW_AVERAGE_S: Final = 12.0


@final
class ModelLoad:
    """Fast and slow moving averages of a model's load at all entries.

    `running` and `waiting` count requests by entry. `pending_tokens` are the
    prompt tokens reported since the averages were last updated.
    """

    __slots__ = (
        'slow_arrivals_per_s',
        'fast_arrivals_per_s',
        'fast_slot_load',
        'fast_tokens_per_s',
        'last_arrival',
        'pending_tokens',
        'running',
        'slow_slot_load',
        'slow_tokens_per_s',
        'updated_at',
        'waiting',
    )

    def __init__(self, now: float) -> None:
        """Create the load of a model without requests."""
        self.running: dict[str, int] = {}
        self.waiting: dict[str, int] = {}
        self.pending_tokens = 0
        self.fast_slot_load = 0.0
        self.slow_slot_load = 0.0
        self.fast_tokens_per_s = 0.0
        self.slow_tokens_per_s = 0.0
        self.slow_arrivals_per_s = 0.0
        self.fast_arrivals_per_s = 0.0
        self.last_arrival = -math.inf
        self.updated_at = now

    @property
    def requests_per_s(self) -> float:
        """The arrival rate; it falls more slowly than it rises."""
        return max(self.fast_arrivals_per_s, self.slow_arrivals_per_s / 2)

    @property
    def total_waiting(self) -> int:
        """The number of requests waiting at all entries."""
        return sum(self.waiting.values())

    def add_report(self, entry: str, demand: ModelDemand, now: float) -> None:
        """Add the demand that an entry reports."""
        self.running[entry] = demand.running
        self.waiting[entry] = demand.waiting
        self.pending_tokens += demand.tokens
        self.slow_arrivals_per_s += demand.arrived / _SLOW_AVERAGE_S
        self.fast_arrivals_per_s += demand.arrived / _FAST_AVERAGE_S
        if demand.arrived:
            self.last_arrival = now

    def drop_entry(self, entry: str) -> None:
        """Drop the requests of an entry that has stopped reporting."""
        self.running.pop(entry, None)
        self.waiting.pop(entry, None)

    def update_averages(self, now: float, slots: int) -> None:
        """Update the averages with the demand added since the last call.

        `slots` is the number of slots of one upstream.
        """
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        self.updated_at = now
        in_use = (sum(self.running.values()) + self.total_waiting) / slots
        rate = self.pending_tokens / elapsed_s
        self.pending_tokens = 0
        fast = 1 - math.exp(-elapsed_s / _FAST_AVERAGE_S)
        slow = 1 - math.exp(-elapsed_s / _SLOW_AVERAGE_S)
        self.fast_slot_load += fast * (in_use - self.fast_slot_load)
        self.slow_slot_load += slow * (in_use - self.slow_slot_load)
        self.fast_tokens_per_s += fast * (rate - self.fast_tokens_per_s)
        self.slow_tokens_per_s += slow * (rate - self.slow_tokens_per_s)
        self.slow_arrivals_per_s -= slow * self.slow_arrivals_per_s
        self.fast_arrivals_per_s -= fast * self.fast_arrivals_per_s

    def upstreams_needed(self, prompt_tokens_per_s: float) -> float:
        """Return how many upstreams of a given prompt speed the load fills."""
        fast = (
            self.fast_slot_load + self.fast_tokens_per_s / prompt_tokens_per_s
        )
        slow = (
            self.slow_slot_load + self.slow_tokens_per_s / prompt_tokens_per_s
        )
        return max(fast, slow / 2)
