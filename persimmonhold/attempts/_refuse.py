"""The actions that refuse a request or break off its response."""

from typing import final

import msgspec

from persimmonhold.failures import Refusal


@final
class Refuse(msgspec.Struct, frozen=True):
    """Respond to the caller with a problem document.

    Nothing of a response has been sent before.
    """

    refusal: Refusal


@final
class EndStreamWithError(msgspec.Struct, frozen=True):
    """Send an `error` event and end the stream of events.

    The stream has begun before; no `[DONE]` event is sent.
    """

    refusal: Refusal


@final
class AbortCallerConnection(msgspec.Struct, frozen=True):
    """Break the caller's connection to show that the response is truncated."""

    refusal: Refusal
