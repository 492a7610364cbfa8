"""What the head of an answer says about its request."""

from typing import final

import msgspec


@final
class UpstreamResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of an answer, decoded.

    `is_own` tells that it belongs to the request that was sent, `is_signed`
    that the upstream vouches for it. `not_run` is the word of the upstream
    that it did not run the request; `is_misdirected` that it is another
    process, or lacks the model or adapter. `process` names the process that
    answered, where it says so.
    """

    status: int
    is_for_request: bool
    is_signed: bool
    is_not_run: bool = False
    is_misdirected: bool = False
    process: str = ''
    is_event_stream: bool = False
