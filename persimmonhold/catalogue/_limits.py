"""The usage limits of an entry."""

from typing import final

import msgspec


@final
class Limits(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Limits on requests and copies; zero means that no limit is set.

    `concurrent_requests` and `requests_per_second` limit all requests to the
    model, adapter or service, `caller_concurrent_requests` those of each
    caller to it. `owner_concurrent_requests` limits the requests to all
    entries of the same owner together.

    `min_copies` and `max_copies` bound the number of loaded copies;
    `min_copies` is at least 1.
    """

    concurrent_requests: int = 0
    requests_per_second: float = 0
    owner_concurrent_requests: int = 0
    caller_concurrent_requests: int = 0
    min_copies: int = 1
    max_copies: int = 0
