"""What the dispatcher asks to do."""

from typing import TypeAlias, final

import msgspec

from persimmonhold.fleet._upstream_facts import UpstreamFacts


@final
class SendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Send the request; first have the adapter loaded where it is absent.

    The remaining fields say by what it was decided.
    """

    number: int
    upstream: UpstreamFacts
    needs_adapter: bool = False
    expected_s: float = 0
    waited_s: float = 0
    running: int = 0


@final
class RefuseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse the request, and why: the line it waited in, who could run it.

    `holders` counts the upstreams that are open and hold what it needs.
    """

    number: int
    reason: str
    retry_after_s: float
    waited_s: float = 0
    queue_length: int = 0
    holder_count: int = 0
    list_age_s: float = 0


ForwardAction: TypeAlias = SendRequest | RefuseRequest
