"""The part of a response that is not relayed yet."""

from typing import Final, final

from persimmonhold.web import BufferShare, MemoryBudget

_MAX_BUFFERED_BYTES: Final = 262_144  # usual responses have a few kilobytes


@final
class BufferedBody:
    """Buffers a response body within its limit and the memory of the VM."""

    __slots__ = ('_buffered', '_share')

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._buffered = bytearray()
        self._share: BufferShare | None = None

    def __bytes__(self) -> bytes:
        """Return what is buffered."""
        return bytes(self._buffered)

    def add(self, chunk: bytes, budget: MemoryBudget) -> bool:
        """Add a part; return False if all of it must be relayed at once."""
        self._buffered += chunk
        if len(self._buffered) > _MAX_BUFFERED_BYTES:
            return False
        if self._share is None:
            self._share = BufferShare(budget)
        return self._share.try_resize(len(self._buffered))

    def clear(self) -> None:
        """Drop what is buffered."""
        self._buffered = bytearray()
        if self._share is not None:
            self._share.resize(0)
