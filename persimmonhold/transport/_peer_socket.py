"""Sending socket for one peer."""

from typing import Final, final

import pynng

from persimmonhold.transport._liveness_monitor import LivenessMonitor

_SEND_QUEUE_LENGTH: Final = 128
_RECONNECT_MIN_MS: Final = 50
_RECONNECT_MAX_MS: Final = 1000


@final
class PeerSocket:
    """Sends to one peer; reconnects by itself and has a bounded queue."""

    __slots__ = ('_socket', 'address', 'liveness')

    def __init__(
        self,
        address: str,
        tls: pynng.TLSConfig | None,
        now: float,
    ) -> None:
        """Start connecting to `address` in the background."""
        self.address = address
        self.liveness = LivenessMonitor(now)
        self._socket = pynng.Push0(
            send_buffer_size=_SEND_QUEUE_LENGTH,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        scheme = 'tcp'
        if tls is not None:
            self._socket.tls_config = tls
            scheme = 'tls+tcp'
        self._socket.dial(f'{scheme}://{address}', block=False)

    def send(self, message: bytes) -> bool:
        """Queue a message; return False if the queue is full."""
        try:
            self._socket.send(message, block=False)
        except pynng.NNGException:
            return False
        return True

    def close(self) -> None:
        """Close the connection and drop queued messages."""
        self._socket.close()
