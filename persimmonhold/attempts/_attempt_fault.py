"""Why an attempt at an upstream failed."""

import enum
from typing import final


@final
@enum.unique
class AttemptFault(enum.StrEnum):
    """The ways in which an attempt at an upstream fails.

    After `connect_failed` and `not_run` the attempt was certainly not
    executed; after the others it may have been. `stalled` means that a timeout
    passed; `stream_incomplete` that a stream ended without `[DONE]`,
    or, for one of a service, within an event or before the first one.
    """

    connect_failed = 'connect_failed'
    not_run = 'not_run'
    connection_lost = 'connection_lost'
    stalled = 'stalled'
    upstream_error = 'upstream_error'
    stream_incomplete = 'stream_incomplete'
