"""The error type returned by operations that can fail."""

from typing import final

import msgspec

from persimmonhold.failures._kind import FailureKind


@final
class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """An error, the step that failed and the peer that it involved, if any.

    It is returned inside `returns.result.Failure` and never raised.
    """

    kind: FailureKind
    step: str
    peer: str = ''
    detail: str = ''

    def describe(self) -> str:
        """Return a one-line message for operators."""
        place = f'{self.step} ({self.peer})' if self.peer else self.step
        return f'{place}: {self.detail or self.kind.value}'
