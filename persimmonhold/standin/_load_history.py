"""Keeps the load reports of a stand-in engine, to publish them late."""

from collections import deque
from typing import Final, final

import msgspec

from persimmonhold.messages import LoadReport

_MS_PER_S: Final = 1000
_MAX_REPORTS: Final = 1024


@final
class LoadHistory:
    """Publishes the newest report that is at least `lag_ms` old.

    Until one is that old, it publishes the oldest report.
    """

    __slots__ = ('_reports', 'lag_ms')

    def __init__(self) -> None:
        """Create an empty history."""
        self.lag_ms = 0.0
        self._reports: deque[tuple[float, LoadReport]] = deque(
            maxlen=_MAX_REPORTS,
        )

    def record_report(self, now: float, report: LoadReport) -> LoadReport:
        """Add the present report and return the one to publish.

        The published report carries its real age and the current `leaving`.
        """
        self._reports.append((now, report))
        published_at, published = self._reports[0]
        for recorded_at, candidate in self._reports:
            if (now - recorded_at) * _MS_PER_S >= self.lag_ms:
                published_at, published = recorded_at, candidate
        return msgspec.structs.replace(
            published,
            age_ms=(now - published_at) * _MS_PER_S,
            leaving=report.leaving,
        )
