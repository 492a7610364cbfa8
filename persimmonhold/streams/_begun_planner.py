"""Plans which streams the control log records."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.streams._stream_record import (
    RecordedStreams,
    StreamChange,
    StreamRecord,
    digest_request_id,
)
from persimmonhold.streams._stream_registry import (
    STREAM_LIFE_S,
    BegunStream,
    StreamOrigin,
)

_MAX_STREAMS_PER_CHANGE: Final = 8192
_MAX_UNRECORDED: Final = 65_536


@final
class BegunPlanner:
    """Plans the changes of recorded streams in one term of the leader.

    `unrecorded` are the origins of reported streams that are not recorded, by
    digest, with the times of the reports; their number is bounded.
    `noticed_at` is since when this leader knows of the streams that were
    recorded at a log index, and `known` the streams of earlier terms.
    """

    __slots__ = ('known', 'noticed_at', 'unrecorded')

    def __init__(self, record: StreamRecord) -> None:
        """Create the planner of a term that begins with a record."""
        self.known = {
            digest for one in record.begun for digest in one.split_digests()
        }
        self.noticed_at: dict[int, float] = {}
        self.unrecorded: OrderedDict[bytes, tuple[float, StreamOrigin]] = (
            OrderedDict()
        )

    def add_reported(self, streams: Iterable[BegunStream], now: float) -> None:
        """Add streams that an entry has reported for the first time."""
        self._drop_old(now)
        for one in streams:
            digest = digest_request_id(one.request_id)
            if digest not in self.known:
                self.unrecorded[digest] = (now, one.origin)

    def plan(self, record: StreamRecord, now: float) -> StreamChange | None:
        """Return the change that is due, or None.

        Streams of a service are recorded while it has several builds.
        """
        self.noticed_at = {
            one.index: self.noticed_at.get(one.index, now)
            for one in record.begun
        }
        self._drop_old(now)
        begun = self._group_due(record)
        if not begun:
            return None
        expired = (
            index
            for index, at in self.noticed_at.items()
            if now - at > STREAM_LIFE_S
        )
        return StreamChange(begun=begun, expired_to=max(expired, default=0))

    def record_committed(self, change: StreamChange) -> None:
        """Record that a change is committed."""
        for one in change.begun:
            for digest in one.split_digests():
                self.unrecorded.pop(digest, None)

    def _group_due(self, record: StreamRecord) -> tuple[RecordedStreams, ...]:
        """Return the streams to record, by where they began, up to a limit."""
        due = [
            (origin, digest)
            for digest, (_, origin) in self.unrecorded.items()
            if record.has_several_builds(origin.service)
        ]
        digests: defaultdict[StreamOrigin, list[bytes]] = defaultdict(list)
        for origin, digest in due[:_MAX_STREAMS_PER_CHANGE]:
            digests[origin].append(digest)
        return tuple(
            RecordedStreams(one, b''.join(found))
            for one, found in digests.items()
        )

    def _drop_old(self, now: float) -> None:
        while self.unrecorded:
            oldest = next(iter(self.unrecorded))
            is_recent = now - self.unrecorded[oldest][0] <= STREAM_LIFE_S
            if is_recent and len(self.unrecorded) <= _MAX_UNRECORDED:
                return
            self.unrecorded.pop(oldest)
