"""What the control log records of streams, so that it outlives all processes.

Earlier builds do not know of it: they ignore the changes, and their snapshots
lack the record. So a service that is not recorded may have streams of any
build.
"""

import hashlib
from collections.abc import Iterator
from typing import Final, final

import msgspec

from persimmonhold.streams._served_builds import ServedBuilds
from persimmonhold.streams._stream_registry import StreamOrigin

_DIGEST_BYTES: Final = 8
_MAX_STREAMS: Final = 262_144


@final
class RecordedStreams(msgspec.Struct, frozen=True, array_like=True):
    """Streams that began at one build, by the digests of their request ids.

    `digests` has 8 bytes for each stream. `index` is the log index of the
    change that recorded them, or 0 in the change itself.
    """

    origin: StreamOrigin
    digests: bytes
    index: int = 0

    @property
    def count(self) -> int:
        """The number of streams."""
        return len(self.digests) // _DIGEST_BYTES

    def split_digests(self) -> Iterator[bytes]:
        """Return the digest of each stream."""
        for start in range(0, len(self.digests), _DIGEST_BYTES):
            yield self.digests[start : start + _DIGEST_BYTES]

    def has(self, digest: bytes) -> bool:
        """Tell whether a stream is among these."""
        found = self.digests.find(digest)
        while found % _DIGEST_BYTES and found >= 0:
            found = self.digests.find(digest, found + 1)
        return found >= 0


@final
class StreamChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change of the record.

    `builds` replaces those of all services. `begun` is added. Streams that
    were recorded by log index `expired_to` are dropped.
    """

    builds: tuple[ServedBuilds, ...] | None = None
    begun: tuple[RecordedStreams, ...] = ()
    expired_to: int = 0


@final
class StreamRecord:
    """The recorded builds by service, and streams at services with several.

    Changes are applied in log order. Where all streams of a service are of one
    build, they need not be recorded; those recorded before stay until a later
    change drops them. Invariant: the number of streams is bounded.
    """

    __slots__ = ('begun', 'builds')

    def __init__(
        self,
        builds: tuple[ServedBuilds, ...] = (),
        begun: tuple[RecordedStreams, ...] = (),
    ) -> None:
        """Create a record as a snapshot has it."""
        self.builds = {one.service: one for one in builds}
        self.begun = begun

    def apply(self, index: int, change: StreamChange) -> None:
        """Apply the change that was committed at a log index."""
        if change.builds is not None:
            self.builds = {one.service: one for one in change.builds}
        added = (
            msgspec.structs.replace(one, index=index) for one in change.begun
        )
        kept = [
            one
            for one in (*self.begun, *added)
            if one.index > change.expired_to
        ]
        count = sum(one.count for one in kept)
        while count > _MAX_STREAMS:
            count -= kept.pop(0).count
        self.begun = tuple(kept)

    def has_several_builds(self, service: str) -> bool:
        """Tell whether streams of a service may be of different builds."""
        recorded = self.builds.get(service)
        return recorded is not None and len(recorded.builds) > 1

    def find_origin(self, request_id: str) -> StreamOrigin | None:
        """Return where a stream began, or None if it is not recorded."""
        digest = digest_request_id(request_id)
        return next((one.origin for one in self.begun if one.has(digest)), None)


def digest_request_id(request_id: str) -> bytes:
    """Return the digest by which a stream is recorded."""
    hashed = hashlib.blake2b(request_id.encode(), digest_size=_DIGEST_BYTES)
    return hashed.digest()
