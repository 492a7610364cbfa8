"""What the replicated log drives."""

import abc


class LogApplier(abc.ABC):
    """A deterministic state machine behind the log."""

    @abc.abstractmethod
    def apply(self, index: int, payload: bytes) -> object:
        """Apply a committed payload; the proposer receives the return."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Encode the state after the last applied index."""

    @abc.abstractmethod
    def restore(self, index: int, state: bytes) -> None:
        """Replace the state by a snapshot taken at `index`."""
