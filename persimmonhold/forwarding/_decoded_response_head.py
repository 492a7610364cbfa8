"""The decoded head of an upstream's response."""

from typing import final

import msgspec


@final
class DecodedResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head states about the request and its execution.

    `request_id` is the request that the response names, or '' if it names
    none. `is_signed` means that it carries the upstream's signature.
    `is_not_run` means that the upstream states that it did not run a request;
    `is_misdirected` that another process answered, or one that lacks the
    model or adapter. `process` names the process that answered, if known.
    `limit_per_s` is how many requests a second the upstream accepts from all
    VMs together, or None if it states no limit; `is_limit_readable` is False
    if it states one that is not a number. `is_leaving` means that the process
    that answered is about to end. `turned_away_s` is for how many seconds it
    wants no requests of this VM, or None if it does not state so.
    `refusals_per_s` is how many requests a second it can refuse for want of room
    before it fails, or None if it does not state so.
    `unusual_statements` are those of the last three that are malformed or
    repeated, and were read with caution.
    """

    status: int
    request_id: str
    is_signed: bool
    is_not_run: bool = False
    is_misdirected: bool = False
    process: str = ''
    is_event_stream: bool = False
    limit_per_s: float | None = None
    is_limit_readable: bool = True
    is_leaving: bool = False
    turned_away_s: float | None = None
    refusals_per_s: float | None = None
    unusual_statements: tuple[str, ...] = ()
