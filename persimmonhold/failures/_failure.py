"""The error type that every fallible step returns."""

from typing import final

import msgspec

from persimmonhold.failures._kind import FailureKind


@final
class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """An error with the step and the peer at which it arose.

    Travels inside `returns.result.Failure`; it is never raised.
    """

    kind: FailureKind
    step: str
    peer: str = ''
    detail: str = ''

    def describe(self) -> str:
        """Return the one-line message that people read."""
        place = f'{self.step} ({self.peer})' if self.peer else self.step
        return f'{place}: {self.detail or self.kind.value}'
