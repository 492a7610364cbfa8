"""What became of requests under quarantine, at one entry."""

from collections import deque
from typing import Final, final

from persimmonhold.quarantine._messages import PromptNews

_MAX_NEWS: Final = 64
_REFUSAL_INTERVAL_S: Final = 5.0  # between reports of refusals under one


@final
class PromptLog:
    """The newest news of such requests, each with its number.

    `refused_at` is when a refusal under a quarantine was last reported.
    """

    __slots__ = ('news', 'refused_at')

    def __init__(self) -> None:
        """Create an empty log."""
        self.news: deque[tuple[int, PromptNews]] = deque(maxlen=_MAX_NEWS)
        self.refused_at: dict[tuple[str, ...], float] = {}

    def add(self, number: int, news: PromptNews) -> None:
        """Add news as the observation with a number."""
        self.news.append((number, news))

    def is_refusal_due(self, parts: tuple[str, ...], now: float) -> bool:
        """Tell whether a refusal is to be reported; at most once a while."""
        last_at = self.refused_at.get(parts)
        if last_at is not None and now - last_at < _REFUSAL_INTERVAL_S:
            return False
        self.refused_at = {
            one: at
            for one, at in self.refused_at.items()
            if now - at < _REFUSAL_INTERVAL_S
        }
        self.refused_at[parts] = now
        return True

    def list_since(self, number: int) -> tuple[PromptNews, ...]:
        """Return the news after an observation."""
        return tuple(one for at, one in self.news if at > number)
