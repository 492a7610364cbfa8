"""Limits the rate of log events that occur in bursts."""

from typing import Final, final

_WINDOW_S: Final = 1.0
# Ten events are enough to show how the inputs of a decision vary.
_MAX_PER_WINDOW: Final = 10


@final
class BurstSampler:
    """Admits the first events of each kind per second and counts the rest."""

    __slots__ = ('suppressed_counts', 'window_counts', 'window_started_at')

    def __init__(self) -> None:
        """Create a sampler without events."""
        self.window_started_at = 0.0
        self.window_counts: dict[str, int] = {}
        self.suppressed_counts: dict[str, int] = {}

    def admit(self, kind: str, now: float) -> int | None:
        """Decide whether an event at `now` (in seconds) is logged.

        Returns None if it is to be suppressed, otherwise the number of events
        of its kind suppressed since the last admitted one.
        """
        if now >= self.window_started_at + _WINDOW_S:
            self.window_started_at = now
            self.window_counts.clear()
        count = self.window_counts.get(kind, 0) + 1
        self.window_counts[kind] = count
        if count > _MAX_PER_WINDOW:
            self.suppressed_counts[kind] = (
                self.suppressed_counts.get(kind, 0) + 1
            )
            return None
        return self.suppressed_counts.pop(kind, 0)
