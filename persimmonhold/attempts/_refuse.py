"""The actions that refuse a request or break its answer."""

from typing import final

import msgspec

from persimmonhold.failures import Refusal


@final
class Refuse(msgspec.Struct, frozen=True):
    """Answer with a problem document; no byte was answered before."""

    refusal: Refusal


@final
class EndStreamWithError(msgspec.Struct, frozen=True):
    """End a stream of events with an `error` event, without `[DONE]`."""

    refusal: Refusal


@final
class AbortCallerConnection(msgspec.Struct, frozen=True):
    """Break the caller's connection, so that it sees a cut answer."""

    refusal: Refusal
