"""A caller's request that was read in full and decoded."""

from typing import final

import msgspec

from persimmonhold.fleet import DispatchRequest
from persimmonhold.web import RequestHead


@final
class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Head and complete body, and the request as the dispatcher sees it.

    `key_hash` is the digest of its key; empty if it needed none on arrival. One
    that `is_relayed` came from another entry, with the head of its caller, after
    `earlier_runs` at upstreams of that entry. One that says so is not relayed
    again, even if its sender is unknown.
    """

    dispatch_request: DispatchRequest
    head: RequestHead
    body: bytes
    key_hash: str = ''
    is_relayed: bool = False
    may_be_relayed: bool = True
    earlier_runs: int = 0
