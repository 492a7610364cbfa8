"""Where streams began, so that callers take them up at the same version.

Pure decisions: entries record the streams that they begin, the fleet controller
those of all entries, and both which builds have served lately.
"""

from persimmonhold.streams._build_history import SeenBuild
from persimmonhold.streams._stream_messages import (
    StreamOriginReply,
    StreamOriginRequest,
)
from persimmonhold.streams._stream_origins import StreamOrigins
from persimmonhold.streams._stream_registry import (
    STREAM_LIFE_S,
    BegunStream,
    StreamOrigin,
)

__all__ = (
    'STREAM_LIFE_S',
    'BegunStream',
    'SeenBuild',
    'StreamOrigin',
    'StreamOriginReply',
    'StreamOriginRequest',
    'StreamOrigins',
)
