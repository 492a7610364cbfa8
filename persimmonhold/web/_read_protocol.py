"""Base of protocols that receive bytes in reads of a bounded size."""

import abc
import asyncio
import threading
from typing import Final, final

# The most that a connection receives after it has paused reading.
MAX_READ_BYTES: Final = 65_536


@final
class _ReadBuffer(threading.local):
    """The buffer of the connections of a thread, which read in turn."""

    def __init__(self) -> None:
        """Create the buffer of the thread."""
        self.view = memoryview(bytearray(MAX_READ_BYTES))


_read_buffer: Final = _ReadBuffer()


class ReadProtocol(asyncio.BufferedProtocol):
    """Receives at most `MAX_READ_BYTES` at once, through a shared buffer."""

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read, which is used at once."""
        return _read_buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.data_received(bytes(_read_buffer.view[:nbytes]))

    @abc.abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
