"""The actions that refuse a request or break off its response."""

from typing import final

import msgspec

from persimmonhold.failures import Refusal


@final
class Refuse(msgspec.Struct, frozen=True):
    """Respond with a problem document; nothing was sent before."""

    refusal: Refusal


@final
class EndStreamWithError(msgspec.Struct, frozen=True):
    """End a stream of events with an `error` event, without `[DONE]`."""

    refusal: Refusal


@final
class AbortCallerConnection(msgspec.Struct, frozen=True):
    """Break the caller's connection to show that the response is truncated."""

    refusal: Refusal
