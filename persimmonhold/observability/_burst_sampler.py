"""Samples events of one kind that come in bursts."""

from typing import Final, final

_WINDOW_S: Final = 1.0
_PER_WINDOW: Final = 10  # enough to see the inputs of a decision vary


@final
class BurstSampler:
    """Lets some events of a kind through in a window, and counts the rest."""

    __slots__ = ('counts', 'left_out', 'window_at')

    def __init__(self) -> None:
        """Create a sampler that has seen nothing."""
        self.window_at = 0.0
        self.counts: dict[str, int] = {}
        self.left_out: dict[str, int] = {}

    def admit(self, kind: str, now: float) -> int | None:
        """Return how many of the kind were left out since; None to leave out."""
        if now >= self.window_at + _WINDOW_S:
            self.window_at = now
            self.counts.clear()
        count = self.counts.get(kind, 0) + 1
        self.counts[kind] = count
        if count > _PER_WINDOW:
            self.left_out[kind] = self.left_out.get(kind, 0) + 1
            return None
        return self.left_out.pop(kind, 0)
