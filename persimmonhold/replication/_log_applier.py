"""The interface of a state machine that the replicated log drives."""

import abc


class LogApplier(abc.ABC):
    """A deterministic state machine to which log entries are applied."""

    @abc.abstractmethod
    def apply(self, index: int, payload: bytes) -> object:
        """Apply a committed payload; its proposer receives the result."""

    @abc.abstractmethod
    def encode_state(self) -> bytes:
        """Return the encoded state as of the last applied index."""

    @abc.abstractmethod
    def restore(self, index: int, state: bytes) -> None:
        """Replace the state with an encoded one as of `index`."""
