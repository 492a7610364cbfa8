"""When a connection is closed whose peer has not read its response.

A peer that reads some of it within the send time-out may take longer in all:
what waits for it is bounded, and may be evicted.
"""

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Final, final

from persimmonhold.observability import log_event
from persimmonhold.web._close_cause import CloseCause

if TYPE_CHECKING:
    from persimmonhold.web._server_connection import ServerConnection

_LINGER_S: Final = 1.0


@final
class ReaderWatch:
    """Closes a connection whose peer does not read, by its timer."""

    __slots__ = ('connection',)

    def __init__(self, connection: 'ServerConnection') -> None:
        """Create the watch of a connection."""
        self.connection = connection

    def wait(self) -> None:
        """Close unless the peer goes on to read what is sent to it."""
        connection = self.connection
        connection.timer.start(
            connection.bounds.send_timeout_s,
            partial(self._end_wait, connection.buffers.unsent_bytes),
        )

    def end_output(self, transport: asyncio.Transport) -> None:
        """Tell the peer that nothing follows its response, and linger."""
        try:
            _write_eof(transport)
        except OSError as error:
            # The peer has reset the connection, and the loop has not noticed.
            log_event('connection_failed', step='end', detail=str(error))
            self.connection.abort(CloseCause.peer)
        else:
            self._linger(0)

    def _linger(self, unread_s: float) -> None:
        """Close after a short time, or once the peer has read its response.

        The peer has read nothing for `unread_s`.
        """
        connection = self.connection
        connection.timer.start(
            _LINGER_S,
            partial(
                self._end_linger, connection.buffers.unsent_bytes, unread_s
            ),
        )

    def _end_wait(self, unsent_before: int) -> None:
        if self.connection.buffers.unsent_bytes < unsent_before:
            self.wait()
        else:
            self.connection.abort(CloseCause.unread_response)

    def _end_linger(self, unsent_before: int, unread_s: float) -> None:
        connection = self.connection
        unsent = connection.buffers.unsent_bytes
        if unsent < unsent_before:
            self._linger(0)
        elif unsent == 0:
            connection.abort(CloseCause.finished)
        elif unread_s + _LINGER_S < connection.bounds.send_timeout_s:
            self._linger(unread_s + _LINGER_S)
        else:
            connection.abort(CloseCause.unread_response)


def _write_eof(transport: asyncio.Transport) -> None:
    if transport.can_write_eof():
        transport.write_eof()
