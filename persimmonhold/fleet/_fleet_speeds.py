"""The speed at which upstreams read prompts, as all entries observe it.

An entry alone sends a request to an upstream every few seconds, too few to
notice within a second that it has become slow.
"""

import itertools
import math
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.fleet._prefill_speed import PrefillSpeed
from persimmonhold.fleet._speed_sums import SpeedSums

_MS_PER_S: Final = 1000
_ROUND_S: Final = 0.05  # updates within this time belong to one round
# A speed that has changed by this share is sent at once, and repeated for
# `_REPEAT_S`, as updates may be lost.
_CHANGED_SHARE: Final = 0.2
_REPEAT_S: Final = 0.3
# All others are sent in turn, so that an entry has them after this many rounds.
_CYCLE_ROUNDS: Final = 20
_FORGET_S: Final = 60.0  # older observations have next to no weight


@final
class FleetSpeeds:
    """Sums the observations of all entries, and chooses what to send them.

    `sent_per_s` is the speed of each upstream that was sent as a change, and
    `changed_at` when. `turn` counts the rounds. `last_round` is when the last
    one began and what it sends.
    """

    __slots__ = (
        'by_upstream',
        'changed_at',
        'last_round',
        'sent_per_s',
        'turn',
    )

    def __init__(self) -> None:
        """Create the record before any observation."""
        self.by_upstream: dict[str, PrefillSpeed] = {}
        self.changed_at: dict[str, float] = {}
        self.last_round: tuple[float, tuple[SpeedSums, ...]] = (-math.inf, ())
        self.sent_per_s: dict[str, float] = {}
        self.turn = 0

    def record_observations(
        self, observations: Iterable[SpeedSums], now: float
    ) -> None:
        """Add the observations of an entry."""
        for sums in observations:
            if sums.tokens > 0 and sums.ms > 0:
                speed = self.by_upstream.setdefault(
                    sums.upstream, PrefillSpeed()
                )
                speed.record_read(sums.tokens, sums.ms / _MS_PER_S, now)

    def list_changes(self, now: float) -> tuple[SpeedSums, ...]:
        """Return the speeds that the entries are sent in this round."""
        if now - self.last_round[0] < _ROUND_S:
            return self.last_round[1]
        self._forget_old(now)
        names = [
            name
            for name, speed in self.by_upstream.items()
            if self._is_recent(name, speed.observed_per_s, now)
        ]
        self.turn = (self.turn + 1) % _CYCLE_ROUNDS
        in_turn = itertools.islice(
            self.by_upstream, self.turn, None, _CYCLE_ROUNDS
        )
        changes = tuple(
            self._build_sums(name, now)
            for name in dict.fromkeys((*names, *in_turn))
        )
        self.last_round = (now, changes)
        return changes

    def _is_recent(self, name: str, per_s: float, now: float) -> bool:
        """Tell whether a speed has changed lately; remember if it did now."""
        sent_per_s = self.sent_per_s.get(name, 0)
        if abs(per_s - sent_per_s) > _CHANGED_SHARE * sent_per_s:
            self.sent_per_s[name] = per_s
            self.changed_at[name] = now
        return now - self.changed_at[name] <= _REPEAT_S

    def _build_sums(self, name: str, now: float) -> SpeedSums:
        tokens, seconds = self.by_upstream[name].sums_at(now)
        return SpeedSums(name, round(tokens), round(seconds * _MS_PER_S))

    def _forget_old(self, now: float) -> None:
        for name, speed in tuple(self.by_upstream.items()):
            if now - speed.updated_at > _FORGET_S:
                self.by_upstream.pop(name)
                self.sent_per_s.pop(name, None)
                self.changed_at.pop(name, None)
