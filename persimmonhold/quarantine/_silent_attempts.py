"""Attempts that got no response, until it is known whether the process ended."""

from collections import deque
from typing import Final, TypeAlias, final

import msgspec

_ProcessKey: TypeAlias = tuple[str, int]
_MAX_ATTEMPTS: Final = 64
# An upstream that crashed has left the list after some seconds.
_MAX_AGE_S: Final = 30.0


@final
class SilentAttempt(msgspec.Struct, frozen=True):
    """A request that an upstream process left without a response."""

    process: tuple[str, int]
    request_id: str
    parts: tuple[str, ...]
    sent_at: float


@final
class SilentAttempts:
    """The newest silent attempts of an entry, up to a bound.

    They may still be under way.

    A crash of a machine closes no connection. An attempt is evidence of one only
    if its process is gone later and has answered nothing sent after it.
    """

    __slots__ = ('attempts',)

    def __init__(self) -> None:
        """Create without attempts."""
        self.attempts: deque[SilentAttempt] = deque(maxlen=_MAX_ATTEMPTS)

    @property
    def processes(self) -> set[tuple[str, int]]:
        """The processes that left requests without a response."""
        return {one.process for one in self.attempts}

    def add(self, attempt: SilentAttempt) -> None:
        """Keep an attempt until the fate of its process is known."""
        self.drop(attempt.process, attempt.request_id)
        self.attempts.append(attempt)

    def drop(self, process: _ProcessKey, request_id: str) -> None:
        """Drop an attempt whose response has begun after all."""
        self.attempts = deque(
            (
                one
                for one in self.attempts
                if one.process != process or one.request_id != request_id
            ),
            maxlen=_MAX_ATTEMPTS,
        )

    def record_response(self, process: _ProcessKey, sent_at: float) -> None:
        """Drop the attempts before one that the process has answered."""
        self.attempts = deque(
            (
                one
                for one in self.attempts
                if one.process != process or one.sent_at > sent_at
            ),
            maxlen=_MAX_ATTEMPTS,
        )

    def take_ended(
        self, process: _ProcessKey, now: float
    ) -> tuple[SilentAttempt, ...]:
        """Remove and return the attempts at a process that has ended."""
        ended = tuple(one for one in self.attempts if one.process == process)
        self.attempts = deque(
            (
                one
                for one in self.attempts
                if one.process != process and now - one.sent_at <= _MAX_AGE_S
            ),
            maxlen=_MAX_ATTEMPTS,
        )
        return ended
