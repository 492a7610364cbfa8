"""How an entry asks the fleet controller where a stream began."""

from typing import final

import msgspec

from persimmonhold.streams._stream_registry import StreamOrigin


@final
class StreamOriginRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='origin',
    array_like=True,
):
    """Asks the fleet controller where a stream began.

    `begun_as` is empty if the caller does not tell. A retransmission keeps the
    `request_id`.
    """

    request_id: int
    service: str
    begun_as: str


@final
class StreamOriginReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='origin_reply',
    array_like=True,
):
    """Tells an entry where a stream began, or None if that is not known.

    Earlier builds never set `is_proven`; theirs may be a guess.
    """

    request_id: int
    origin: StreamOrigin | None
    is_proven: bool = False
