"""Decides when the fleet controller sends updates to all entries.

An entry must know soon what an order has changed, and often what the other
entries send, but the updates of all entries together are bounded: they take
time of the controller's event loop, and a share of each entry's link.
"""

import math
from typing import Final, final

# Bounds on the updates to all entries together: regular ones, and all.
_REGULAR_UPDATES_PER_S: Final = 400.0
_UPDATES_PER_S: Final = 1000.0
# Entries that hear less often choose by facts that are too old. Up to 340
# entries this goes before the bounds above; beyond, the last bound holds.
_MAX_INTERVAL_S: Final = 0.25
_MAX_UPDATES_PER_S: Final = 1350.0
_MIN_REGULAR_INTERVAL_S: Final = 0.1
_MIN_INTERVAL_S: Final = 0.02


@final
class UpdateSchedule:
    """Spaces the rounds of updates; a round sends one to each entry.

    A round is due at regular intervals, and sooner if facts have changed.
    """

    __slots__ = ('has_changes', 'last_round_at')

    def __init__(self) -> None:
        """Create a schedule whose first round is due at once."""
        self.has_changes = False
        self.last_round_at = -math.inf

    def request_round(self) -> None:
        """Ask for a round before the next regular one."""
        self.has_changes = True

    def due_at(self, entry_count: int) -> float:
        """Return when the next round to that many entries is due."""
        interval_s = shortest_interval_s(entry_count)
        if not self.has_changes:
            regular_s = _spread_s(entry_count, _REGULAR_UPDATES_PER_S)
            interval_s = max(_MIN_REGULAR_INTERVAL_S, regular_s)
        return self.last_round_at + interval_s

    def record_round(self, now: float) -> None:
        """Record that a round was sent."""
        self.has_changes = False
        self.last_round_at = now


def shortest_interval_s(entry_count: int) -> float:
    """Return the shortest time between two rounds to that many entries."""
    return max(_MIN_INTERVAL_S, _spread_s(entry_count, _UPDATES_PER_S))


def _spread_s(entry_count: int, updates_per_s: float) -> float:
    """Return the time over which a round to all entries is spread."""
    longest_s = max(_MAX_INTERVAL_S, entry_count / _MAX_UPDATES_PER_S)
    return min(longest_s, entry_count / updates_per_s)
