"""The builds of a service at which streams may have begun."""

from typing import final

import msgspec

from persimmonhold.streams._stream_registry import StreamOrigin


@final
class ServedBuilds(msgspec.Struct, frozen=True, array_like=True):
    """The builds of a service whose streams callers may still take up.

    Streams that began at another build exist only if not `is_complete`.
    """

    service: str
    builds: tuple[str, ...]
    is_complete: bool = False

    @property
    def origins(self) -> tuple[StreamOrigin, ...]:
        """The origins of streams of the service."""
        return tuple(StreamOrigin(self.service, build) for build in self.builds)
