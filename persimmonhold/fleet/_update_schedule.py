"""Decides when the fleet controller sends updates to all entries.

An entry must know soon what an order has changed, and often what the other
entries send, but the updates of all entries together are bounded: they take
time of the controller's event loop, and a share of each entry's link.
"""

import math
from typing import Final, final

# Bounds on the updates to all entries together.
_MAX_REGULAR_UPDATES_PER_S: Final = 400.0
_MAX_UPDATES_PER_S: Final = 1000.0
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
            interval_s = max(
                _MIN_REGULAR_INTERVAL_S,
                entry_count / _MAX_REGULAR_UPDATES_PER_S,
            )
        return self.last_round_at + interval_s

    def record_round(self, now: float) -> None:
        """Record that a round was sent."""
        self.has_changes = False
        self.last_round_at = now


def shortest_interval_s(entry_count: int) -> float:
    """Return the shortest time between two rounds to that many entries."""
    return max(_MIN_INTERVAL_S, entry_count / _MAX_UPDATES_PER_S)
