"""The properties that decide how a request is handled."""

from typing import final

import msgspec


@final
class RequestProperties(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that decide on retries and recovery.

    `has_claimable_key` means that an idempotency key is claimed before
    dispatch. `is_generation` is set for a request to a model, `is_streamed`
    if its caller asked for a stream of events, which can be resumed.
    `has_caller_deadline` means that the caller itself set the deadline, which
    then also ends a stream that has begun.
    """

    is_idempotent: bool
    has_claimable_key: bool = False
    is_generation: bool = False
    is_streamed: bool = False
    has_caller_deadline: bool = False
