"""The usage limits of an entry."""

from typing import final

import msgspec


@final
class Limits(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Limits on requests and copies; zero means that no limit is set.

    `concurrent_requests` and `requests_per_second` limit all requests to the
    model, adapter or service, `caller_concurrent_requests` those of each
    caller to it, and `owner_concurrent_requests` those to all of its owner.

    `min_copies`, a lower bound, is at least 1.
    """

    concurrent_requests: int = 0
    requests_per_second: float = 0
    owner_concurrent_requests: int = 0
    caller_concurrent_requests: int = 0
    min_copies: int = 1
    max_copies: int = 0
