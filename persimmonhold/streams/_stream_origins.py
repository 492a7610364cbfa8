"""Decides at which build a stream that a caller takes up may go on."""

from collections.abc import Iterable
from typing import final

from persimmonhold.streams._build_history import BuildHistory, SeenBuild
from persimmonhold.streams._stream_record import StreamRecord
from persimmonhold.streams._stream_registry import (
    BegunStream,
    StreamOrigin,
    StreamRegistry,
)


@final
class StreamOrigins:
    """What one VM knows of streams, and of the builds that have served."""

    __slots__ = ('builds', 'streams')

    def __init__(self) -> None:
        """Create without any knowledge."""
        self.streams = StreamRegistry()
        self.builds = BuildHistory()

    def record_reported(
        self,
        streams: Iterable[BegunStream],
        builds: Iterable[SeenBuild],
        observed_s: float,
        now: float,
    ) -> tuple[BegunStream, ...]:
        """Record what another VM knows, and has observed for so long.

        Returns the streams that this VM did not know of.
        """
        self.builds.record_reported(builds, observed_s, now)
        return self.streams.record_all(streams, now)

    def find_origin(
        self,
        begun_as: str,
        service: str,
        record: StreamRecord | None,
        now: float,
    ) -> StreamOrigin | None:
        """Return where a stream began, on the VM that leads control.

        `record` is None while this VM does not know the current one. A stream
        that is neither reported nor recorded can only be of the one build that
        has served, if the record of its service is complete.
        """
        known = self.streams.find_origin(begun_as, now)
        if known is not None or record is None:
            return known
        recorded = record.find_origin(begun_as)
        builds = record.builds.get(service)
        if recorded is not None or builds is None or not builds.is_complete:
            return recorded
        return self.builds.find_sole_build(service, now, builds.builds)

    def find_own_origin(
        self, begun_as: str, service: str, asked_at: float, now: float
    ) -> StreamOrigin | None:
        """Return where a stream began if this VM alone can be sure of it.

        `asked_at` is when its caller took it up. A list that is older may lack
        the build that began it.
        """
        known = self.streams.find_origin(begun_as, now)
        is_sure = (
            self.builds.covers_streams(now)
            and self.builds.observed_at >= asked_at
        )
        if known is not None or not is_sure:
            return known
        return self.builds.find_sole_build(service, now)
