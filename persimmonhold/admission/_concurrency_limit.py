"""The adaptive limit on requests in flight at one upstream.

Additive increase while first tokens come in time and the limit is used,
multiplicative decrease at most once in a window when they come late.
"""

from typing import Final, final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings

_FLOOR: Final = 1.0
_USED_SHARE: Final = 0.5


@final
class ConcurrencyLimit:
    """The limit of one entry at one upstream."""

    __slots__ = ('_ceiling', '_decreased_at', '_settings', 'value')

    def __init__(
        self,
        initial: float,
        ceiling: float,
        settings: DispatcherSettings,
    ) -> None:
        """Create a limit."""
        self.value = initial
        self._ceiling = ceiling
        self._decreased_at = float('-inf')
        self._settings = settings

    def succeed(self, in_flight: int) -> None:
        """Take an answer in time as evidence for room."""
        if in_flight >= self.value * _USED_SHARE:
            raised = self.value + 1 / self.value
            self.value = min(self._ceiling, raised)

    def fail(self, now: float) -> None:
        """Take a late or missing answer as evidence against room."""
        if now - self._decreased_at < self._settings.limit_window_s:
            return
        self._decreased_at = now
        lowered = self.value * self._settings.limit_decrease
        self.value = max(_FLOOR, lowered)
