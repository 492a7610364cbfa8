"""Where streams began that callers may take up again.

Pure state: an entry records the streams that it has begun, and the fleet
controller those of all entries. Invariant: the number of streams is bounded.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, final

import msgspec

# No caller takes a stream up again after this time.
STREAM_LIFE_S: Final = 30.0
_MAX_STREAMS: Final = 65_536


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
    """The origins of the newest streams, and when each was recorded."""

    __slots__ = ('begun',)

    def __init__(self) -> None:
        """Create a registry without streams."""
        self.begun: OrderedDict[str, tuple[float, StreamOrigin]] = OrderedDict()

    def record(self, request_id: str, origin: StreamOrigin, now: float) -> bool:
        """Record a stream, and tell whether it is new.

        The first origin of a request is kept.
        """
        is_new = request_id not in self.begun
        if is_new:
            self.begun[request_id] = (now, origin)
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
        found = self.begun.get(request_id)
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
