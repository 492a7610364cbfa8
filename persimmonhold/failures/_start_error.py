"""The exception of an owner that cannot start."""

from typing import final

from persimmonhold.failures._failure import Failure


@final
class StartError(OSError):
    """Raised on entering a context whose resource cannot be had."""

    def __init__(self, failure: Failure) -> None:
        """Create the exception of a failure."""
        super().__init__(failure.describe())
        self.failure = failure
