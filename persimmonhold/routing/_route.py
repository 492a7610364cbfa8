"""The upstream that was chosen for a request."""

from typing import final

import msgspec


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Upstream, its address, and why it was chosen."""

    upstream: str
    address: str
    failure_domain: str
    explanation: str
    predicted_first_token_ms: float = 0
