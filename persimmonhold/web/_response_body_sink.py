"""Interface of an object that a response body is passed to."""

import abc


class ResponseBodySink(abc.ABC):
    """Receives a response body chunk by chunk, synchronously with each read."""

    @abc.abstractmethod
    def handle_response_chunk(self, chunk: bytes) -> bool:
        """Handle body bytes that were read; return False to pause reading."""
