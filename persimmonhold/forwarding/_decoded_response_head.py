"""The decoded head of an upstream's response."""

from typing import final

import msgspec


@final
class DecodedResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head states about the request and its execution.

    `is_for_request` means that the response belongs to the request that was
    sent, `is_signed` that it carries the upstream's signature. `is_not_run`
    means that the upstream states that it did not run the request;
    `is_misdirected` that another process answered, or one that lacks the
    model or adapter. `process` names the process that answered, if known.
    """

    status: int
    is_for_request: bool
    is_signed: bool
    is_not_run: bool = False
    is_misdirected: bool = False
    process: str = ''
    is_event_stream: bool = False
