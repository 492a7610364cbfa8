"""Arrival times of the tokens of one stream."""

from typing import Final, final

_PERCENTILE: Final = 0.95


@final
class TokenTimings:
    """Measures the first-token time and the gaps between tokens.

    All times are in seconds from when the request was due.
    """

    __slots__ = ('_gaps_s', '_last_arrival_s', 'first_token_s', 'worst_gap_s')

    def __init__(self, now_s: float) -> None:
        """Create the timings of a stream that has no token yet at `now_s`."""
        self.first_token_s = 0.0
        self.worst_gap_s = 0.0
        self._gaps_s: list[float] = []
        self._last_arrival_s = now_s

    def record_arrival(self, now_s: float) -> None:
        """Record that one or more tokens arrived together at `now_s`."""
        if self.first_token_s:
            gap_s = now_s - self._last_arrival_s
            self._gaps_s.append(gap_s)
            self.worst_gap_s = max(self.worst_gap_s, gap_s)
        else:
            self.first_token_s = now_s
        self._last_arrival_s = now_s

    def gap_p95_s(self) -> float:
        """Return the 95th percentile of the gaps; 0 without gaps."""
        if not self._gaps_s:
            return 0
        ordered = sorted(self._gaps_s)
        return ordered[int(_PERCENTILE * (len(ordered) - 1))]
