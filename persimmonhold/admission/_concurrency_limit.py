"""The adaptive limit on requests in flight at one upstream.

The limit increases additively while answers are timely and enough of the limit
is in use. It decreases multiplicatively, at most once per `limit_window_s`,
when an answer is late or an attempt fails.
"""

from typing import Final, final

from persimmonhold.admission._dispatcher_settings import DispatcherSettings

_MIN_LIMIT: Final = 1.0
# The limit is raised only if it is in use, which means that the requests in
# flight are at least this share of it.
_MIN_USED_SHARE: Final = 0.5


@final
class ConcurrencyLimit:
    """The limit on the requests that one entry has in flight at one upstream.

    `value` is the present limit; its integer part is enforced.
    """

    __slots__ = (
        '_decreased_at',
        '_maximum',
        '_settings',
        'value',
    )

    def __init__(
        self,
        initial: float,
        maximum: float,
        settings: DispatcherSettings,
    ) -> None:
        """Create a limit of `initial` requests that may grow to `maximum`."""
        self.value = initial
        self._maximum = maximum
        self._decreased_at = float('-inf')
        self._settings = settings

    def record_success(self, in_flight: int) -> None:
        """Raise the limit after a timely answer if enough of it is in use.

        `in_flight` is the number of requests in flight at the upstream.
        """
        if in_flight >= self.value * _MIN_USED_SHARE:
            raised = self.value + 1 / self.value
            self.value = min(self._maximum, raised)

    def record_failure(self, now: float) -> None:
        """Lower the limit after a late or failed answer.

        Has no effect within `limit_window_s` after the last decrease.
        """
        if now - self._decreased_at < self._settings.limit_window_s:
            return
        self._decreased_at = now
        lowered = self.value * self._settings.limit_decrease_factor
        self.value = max(_MIN_LIMIT, lowered)
