"""The exception raised when a component cannot start."""

from typing import final

from persimmonhold.failures._failure import Failure


@final
class StartError(OSError):
    """Raised on entering a context whose resource cannot be acquired."""

    def __init__(self, failure: Failure) -> None:
        """Create the exception for a failure."""
        super().__init__(failure.describe())
        self.failure = failure
