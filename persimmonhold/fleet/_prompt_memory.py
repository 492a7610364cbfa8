"""Remembers which upstreams have read which prompts of this entry.

Invariant: at most `max_records` pairs of a prompt part and an upstream are
remembered; the parts that were used least recently are forgotten first.
"""

import math
from collections.abc import Callable, Container, Mapping
from types import MappingProxyType
from typing import Final, Self, final

import msgspec

from persimmonhold.fleet._prompt_keys import PromptKeys

MAX_RECORDS: Final = 4096
# An upstream's cache of 100,000 tokens is replaced within about 25 s at 4,000
# prompt tokens a second.
_HALF_LIFE_S: Final = 20.0
_HALF: Final = 0.5
_MIN_CERTAINTY: Final = 0.05  # less than that is as good as not known
_MAX_UPSTREAMS: Final = 8  # that are remembered for a part
_NONE: Final[Mapping[str, float]] = MappingProxyType({})


@final
class CachedPrompt(msgspec.Struct, frozen=True):
    """What an upstream is expected to have cached of a prompt.

    `tokens` is the expected number: that of each part times the probability
    that it is still cached. `used_at` is when the part that was used least
    recently was last used there.
    """

    tokens: float = 0
    used_at: float = math.inf

    def add_part(self, tokens: int, used_at: float, now: float) -> Self | None:
        """Return this with a part behind the others; None if it is too old."""
        oldest_at = min(self.used_at, used_at)
        certainty = math.pow(_HALF, max(0, now - oldest_at) / _HALF_LIFE_S)
        if certainty < _MIN_CERTAINTY:
            return None
        return type(self)(self.tokens + tokens * certainty, oldest_at)


NOTHING_CACHED: Final = CachedPrompt()


@final
class PromptMemory:
    """When the upstreams read the parts of prompts, by prefix key.

    `used_at` maps prefixes to upstreams and times, the most recently used
    prefix last. `record_count` counts the pairs.
    """

    __slots__ = ('max_records', 'record_count', 'used_at')

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        """Create an empty memory."""
        self.max_records = max_records
        self.record_count = 0
        self.used_at: dict[int, dict[str, float]] = {}

    def record_read(self, keys: PromptKeys, upstream: str, now: float) -> None:
        """Record that an upstream has read a prompt.

        The last part belongs to one session, which stays at the upstream that
        it used last; so other upstreams are forgotten for that part.
        """
        last = keys.prefixes[-1]
        for prefix in keys.prefixes:
            upstreams = self.used_at.pop(prefix, None) or {}
            self.record_count -= len(upstreams)
            if prefix == last:
                upstreams = {}
            upstreams.pop(upstream, None)
            upstreams[upstream] = now
            if len(upstreams) > _MAX_UPSTREAMS:
                upstreams.pop(next(iter(upstreams)))
            self.used_at[prefix] = upstreams
            self.record_count += len(upstreams)
        while self.record_count > self.max_records:
            oldest = next(iter(self.used_at))
            self.record_count -= len(self.used_at.pop(oldest))

    def find_session(self, keys: PromptKeys) -> str:
        """Return the upstream that last read the whole prompt, or ''."""
        return next(iter(self.used_at.get(keys.prefixes[-1], ())), '')

    def find_cached(
        self,
        keys: PromptKeys,
        cached_since: Callable[[str], float],
        now: float,
    ) -> dict[str, CachedPrompt]:
        """Return what upstreams are expected to have cached of a prompt.

        `cached_since` returns the time from which on an upstream has kept what
        it read, or infinity if the upstream is not of interest.
        """
        found: dict[str, CachedPrompt] = {}
        before: Mapping[str, CachedPrompt] | None = None
        for prefix, tokens in zip(keys.prefixes, keys.tokens, strict=True):
            parts = (
                (name, _find_known(name, before).add_part(tokens, used_at, now))
                for name, used_at in self._list_uses(prefix, before)
                if used_at > cached_since(name)
            )
            before = {
                name: cached for name, cached in parts if cached is not None
            }
            if not before:
                break
            found.update(before)
        return found

    def _list_uses(
        self, prefix: int, among: Container[str] | None
    ) -> list[tuple[str, float]]:
        """Return the upstreams that read a prefix, and when."""
        upstreams = self.used_at.get(prefix, _NONE)
        return [
            use for use in upstreams.items() if among is None or use[0] in among
        ]


def _find_known(
    name: str, before: Mapping[str, CachedPrompt] | None
) -> CachedPrompt:
    """Return what an upstream has cached of the parts before a part."""
    return before[name] if before else NOTHING_CACHED
