"""The parts of an upstream's response head that decide on the next action."""

from typing import Final, final

import msgspec

# Statuses that depend on the request alone, not on the upstream that answers.
_CLIENT_ERRORS: Final = frozenset((400, 401, 403, 405, 413, 414, 415, 422))


@final
class UpstreamResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of an upstream's response.

    `is_not_run` is set where the upstream states explicitly that it did not
    execute the request. `content_length` is None where no length is announced.
    `ends_with_connection` is set if only the end of the connection marks the
    end of the body.
    """

    status: int
    media_type: str = ''
    is_not_run: bool = False
    content_length: int | None = None
    ends_with_connection: bool = False

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the body is a stream of server-sent events."""
        return self.media_type.startswith('text/event-stream')

    @property
    def is_client_error(self) -> bool:
        """Tell whether every upstream would send the same response."""
        return self.status in _CLIENT_ERRORS
