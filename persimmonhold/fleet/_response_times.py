"""What an entry has learned of the response times of one upstream."""

import math
from typing import Final, final

INITIAL_ATTEMPT_S: Final = 0.1  # expected duration before any response
# How long response times count after the last attempt. Without attempts there
# is no other way to learn that an upstream is no longer slow.
_MEMORY_S: Final = 4.0
_SMOOTHING: Final = 0.2  # weight of the latest response
# Bounds of the ratio of measured to expected time to a first byte; they keep
# one stalled response from dominating the average.
_MAX_RATIO: Final = 10.0
_MIN_RATIO: Final = 0.1


@final
class ResponseTimes:
    """Moving averages of the responses of one process.

    `average_attempt_s` is the duration of attempts. `slowdown` is the ratio of
    the measured to the expected time to a first byte. The last attempt of a
    plain request was at `last_attempt_at`.
    """

    __slots__ = ('average_attempt_s', 'last_attempt_at', 'slowdown')

    def __init__(self) -> None:
        """Create the record of a process without attempts."""
        self.average_attempt_s = INITIAL_ATTEMPT_S
        self.last_attempt_at = -math.inf
        self.slowdown = 1.0

    @property
    def has_been_tried(self) -> bool:
        """Whether the process was sent a plain request by this entry."""
        return math.isfinite(self.last_attempt_at)

    def is_untried(self, now: float) -> bool:
        """Tell whether no attempt was made within `_MEMORY_S`."""
        return now - self.last_attempt_at > _MEMORY_S

    def replace(self, expected_s: float) -> None:
        """Replace outdated averages by the expectation of a trial."""
        self.average_attempt_s = expected_s
        self.slowdown = 1.0

    def record_first_byte(self, waited_s: float, expected_s: float) -> None:
        """Record the time to the first byte of a response."""
        if expected_s > 0:
            bounded = min(_MAX_RATIO, max(_MIN_RATIO, waited_s / expected_s))
            self.slowdown += _SMOOTHING * (bounded - self.slowdown)

    def record_answer(self, taken_s: float) -> None:
        """Record the duration of an attempt that was answered."""
        self.average_attempt_s += _SMOOTHING * (
            taken_s - self.average_attempt_s
        )
