"""The phases of a request."""

import enum
from typing import final


@final
@enum.unique
class RequestPhase(enum.StrEnum):
    """The processing phase of a request.

    `sent` begins before the first byte is handed to the operating system, so
    that the current attempt of a request in an earlier phase has certainly
    not run. `holding` buffers a response until it is complete; `recording`
    waits for the commit of a call's outcome.
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
