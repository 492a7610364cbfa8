"""Where streams began, so that callers take them up at the same version.

Pure decisions: entries record the streams that they begin, the fleet controller
those of all entries, and both which builds have served lately. The control log
records these builds, and the streams of services with several, as entries and
the fleet controller may be lost together.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.streams._build_history import BuildHistory, SeenBuild
from persimmonhold.streams._served_builds import ServedBuilds
from persimmonhold.streams._stream_messages import (
    StreamOriginReply,
    StreamOriginRequest,
)
from persimmonhold.streams._stream_origins import StreamOrigins
from persimmonhold.streams._stream_record import (
    RecordedStreams,
    StreamChange,
    StreamRecord,
)
from persimmonhold.streams._stream_registry import (
    STREAM_LIFE_S,
    BegunStream,
    StreamOrigin,
    StreamRegistry,
    shorten_id,
)

if TYPE_CHECKING:
    from persimmonhold.streams._begun_planner import BegunPlanner
    from persimmonhold.streams._build_planner import BuildPlanner

__all__ = (
    'STREAM_LIFE_S',
    'BegunPlanner',
    'BegunStream',
    'BuildHistory',
    'BuildPlanner',
    'RecordedStreams',
    'SeenBuild',
    'ServedBuilds',
    'StreamChange',
    'StreamOrigin',
    'StreamOriginReply',
    'StreamOriginRequest',
    'StreamOrigins',
    'StreamRecord',
    'StreamRegistry',
    'shorten_id',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'BegunPlanner': '_begun_planner',
            'BuildPlanner': '_build_planner',
        },
    )
