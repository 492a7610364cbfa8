"""The upstream that was chosen for a request."""

from typing import final

import msgspec


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Upstream, its address, and why it was chosen.

    `hit_tokens` is the part of the prompt that the upstream is believed to
    have in its prefix cache; `version` is empty for a plain service.
    """

    upstream: str
    address: str
    failure_domain: str
    explanation: str
    version: str = ''
    predicted_first_token_ms: float = 0
    hit_tokens: int = 0
