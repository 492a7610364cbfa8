"""What takes the body of a response while it arrives."""

import abc


class BodySink(abc.ABC):
    """Takes the bytes of each read within the read itself."""

    @abc.abstractmethod
    def write_chunk(self, chunk: bytes) -> bool:
        """Take what one read brought; False asks to pause reading."""
