"""Interface of a receiver of a response body."""

import abc


class ResponseBodySink(abc.ABC):
    """Receives a response body chunk by chunk, synchronously with each read."""

    @abc.abstractmethod
    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Write the bytes of one read; return False to pause reading."""
