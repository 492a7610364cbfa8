"""Where streams began that callers may take up again.

Pure state: an entry records the streams that it has begun, and the fleet
controller those of all entries. Invariant: the number of streams is bounded.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, final

import msgspec

# No caller takes a stream up again after this time.
STREAM_LIFE_S: Final = 30.0
_MAX_STREAMS: Final = 65_536
_MAX_ID_CHARS: Final = 128
_DIGEST_BYTES: Final = 16


def shorten_id(request_id: str) -> str:
    """Return an id of at most 128 characters that stands for a request id.

    A longer one, whose length the caller chooses, is replaced by its digest.
    """
    if len(request_id) <= _MAX_ID_CHARS:
        return request_id
    digest = hashlib.blake2b(request_id.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


@final
class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The service and the build whose upstream sent the first event.

    `build` is empty where no upstream of the service states its version.
    """

    service: str
    build: str


@final
class BegunStream(msgspec.Struct, frozen=True, array_like=True):
    """A stream by the id of the request that brought its first event."""

    request_id: str
    origin: StreamOrigin


@final
class StreamRegistry:
    """The origins of the newest streams, and when each was recorded.

    Streams are kept by shortened ids, so that their number bounds their size.
    """

    __slots__ = ('begun',)

    def __init__(self) -> None:
        """Create a registry without streams."""
        self.begun: OrderedDict[str, tuple[float, StreamOrigin]] = OrderedDict()

    def record(self, request_id: str, origin: StreamOrigin, now: float) -> bool:
        """Record a stream, and tell whether it is new.

        The first origin of a request is kept.
        """
        stream_id = shorten_id(request_id)
        is_new = stream_id not in self.begun
        if is_new:
            self.begun[stream_id] = (now, origin)
        while self.begun:
            oldest = next(iter(self.begun))
            is_old = now - self.begun[oldest][0] > STREAM_LIFE_S
            if not is_old and len(self.begun) <= _MAX_STREAMS:
                break
            self.begun.pop(oldest)
        return is_new

    def record_all(
        self, streams: Iterable[BegunStream], now: float
    ) -> tuple[BegunStream, ...]:
        """Record the streams that an entry has reported; return new ones."""
        return tuple(
            one
            for one in streams
            if self.record(one.request_id, one.origin, now)
        )

    def find_origin(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return where a stream began, or None if that is not known."""
        found = self.begun.get(shorten_id(request_id))
        if found is None or now - found[0] > STREAM_LIFE_S:
            return None
        return found[1]

    def list_begun_since(self, since: float) -> tuple[BegunStream, ...]:
        """Return the streams that were recorded since a time, newest first."""
        streams: list[BegunStream] = []
        for request_id in reversed(self.begun):
            at, origin = self.begun[request_id]
            if at < since:
                break
            streams.append(BegunStream(request_id, origin))
        return tuple(streams)
