"""Actions that the dispatcher returns to its caller."""

from typing import TypeAlias, final

import msgspec

from persimmonhold.fleet._upstream_facts import UpstreamFacts


@final
class SendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Send a request to an upstream.

    If `needs_adapter`, the adapter must be loaded there first. For the log:
    `expected_s` is the expected time to the first event, `waited_s` the time
    in the queue, `running` the number of other requests at the upstream,
    `cached_tokens` those expected in its prompt cache, `tokens_per_s` the
    prefill speed assumed, or 0 if none was learned, and `is_late` whether it
    was too late for its due time when it was last ordered.
    """

    number: int
    upstream: UpstreamFacts
    needs_adapter: bool = False
    expected_s: float = 0
    waited_s: float = 0
    running: int = 0
    cached_tokens: int = 0
    tokens_per_s: int = 0
    is_late: bool = False


@final
class RefuseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse a request, and tell the caller when to retry.

    `queue_length` is that of the queue it waited in, of which `ahead` requests
    go before it; `is_late` as in `SendRequest`. `holder_count` is the
    number of available upstreams that hold its model, and `list_age_s` the
    age of the upstream list.
    """

    number: int
    reason: str
    retry_after_s: float
    waited_s: float = 0
    queue_length: int = 0
    ahead: int = 0
    is_late: bool = False
    holder_count: int = 0
    list_age_s: float = 0


ForwardAction: TypeAlias = SendRequest | RefuseRequest
