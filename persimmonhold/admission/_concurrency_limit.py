"""The adaptive limit on requests in flight at one upstream.

Additive increase while first tokens come in time and the limit is used,
multiplicative decrease at most once in a window when they come late.
"""

from typing import Final, final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings

_MIN_LIMIT: Final = 1.0
_MIN_USED_SHARE: Final = 0.5


@final
class ConcurrencyLimit:
    """The limit of one entry at one upstream."""

    __slots__ = ('_maximum', '_decreased_at', '_settings', 'value')

    def __init__(
        self,
        initial: float,
        maximum: float,
        settings: DispatcherSettings,
    ) -> None:
        """Create a limit."""
        self.value = initial
        self._maximum = maximum
        self._decreased_at = float('-inf')
        self._settings = settings

    def record_success(self, in_flight: int) -> None:
        """Take an answer in time as evidence for room."""
        if in_flight >= self.value * _MIN_USED_SHARE:
            raised = self.value + 1 / self.value
            self.value = min(self._maximum, raised)

    def record_failure(self, now: float) -> None:
        """Take a late or missing answer as evidence against room."""
        if now - self._decreased_at < self._settings.limit_window_s:
            return
        self._decreased_at = now
        lowered = self.value * self._settings.limit_decrease_factor
        self.value = max(_MIN_LIMIT, lowered)
