"""A request that was read and understood."""

from typing import final

import msgspec

from persimmonhold.fleet import DispatchRequest
from persimmonhold.web import RequestHead


@final
class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Head and whole body, and what the dispatcher goes by."""

    ticket: DispatchRequest
    head: RequestHead
    body: bytes
