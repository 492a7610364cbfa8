"""What the life of a request depends on."""

from typing import final

import msgspec


@final
class RequestProperties(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that decide on retries and recovery.

    `claims` says that its idempotency key is claimed before dispatch.
    `is_generation` and `streams` select resumption by tokens.
    `cuts_stream` says that the caller itself asked for a deadline, which
    then also ends a stream that is under way.
    """

    is_idempotent: bool
    has_claimable_key: bool = False
    is_generation: bool = False
    is_streamed: bool = False
    has_caller_deadline: bool = False
