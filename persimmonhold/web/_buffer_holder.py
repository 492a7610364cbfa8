"""Interface of a peer's connection whose buffers a budget may take back."""

import abc


class BufferHolder(abc.ABC):
    """A connection that holds memory and a descriptor for a peer."""

    @property
    @abc.abstractmethod
    def is_waiting(self) -> bool:
        """Whether no request of the connection is being served."""

    @abc.abstractmethod
    def compute_excess(self, now: float) -> float:
        """Return the bytes held times the seconds without progress.

        It is 0 if closing the connection would interrupt a request that is
        served and whose peer reads its response.
        """

    @abc.abstractmethod
    def evict(self) -> None:
        """Release the buffers at once, by a refusal or a close."""

    @abc.abstractmethod
    def close_at_once(self) -> None:
        """Close the connection, so that its descriptor is free."""
