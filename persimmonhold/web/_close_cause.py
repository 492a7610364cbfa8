"""Why a server connection was closed."""

import enum
from typing import final


@final
@enum.unique
class CloseCause(enum.StrEnum):
    """What closed a connection: its peer, or this process and why."""

    broken_response = 'broken_response'
    error = 'error'
    eviction = 'eviction'
    finished = 'finished'  # nothing was in progress
    peer = 'peer'
    process_end = 'process_end'
    unread_response = 'unread_response'
