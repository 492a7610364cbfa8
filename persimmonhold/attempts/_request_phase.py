"""The phases of a request."""

import enum
from typing import final


@final
@enum.unique
class RequestPhase(enum.StrEnum):
    """The processing phase of a request.

    `claiming` waits for the claim of the idempotency key, `queued` for the
    choice of an upstream by admission. `connecting` opens the connection.
    `sent` begins before the first byte is handed to the operating
    system, so that the current attempt of a request in an earlier phase has
    certainly not run. `holding` buffers a response until it is complete;
    `streaming` relays it as it arrives. `recording` waits until the outcome
    of a request with a claimed key is committed.
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
