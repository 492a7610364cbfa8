"""The phases in the life of a request."""

import enum
from typing import final


@final
@enum.unique
class RequestPhase(enum.StrEnum):
    """Where a request is.

    `sent` begins before the first byte is handed to the operating system,
    so that a request in an earlier phase has certainly not run in the
    attempt under way. `holding` keeps an answer back until it is whole;
    `recording` waits for the commit of a call's outcome.
    """

    arrived = 'arrived'
    claiming = 'claiming'
    queued = 'queued'
    connecting = 'connecting'
    sent = 'sent'
    holding = 'holding'
    streaming = 'streaming'
    recording = 'recording'
    ended = 'ended'
