"""The upstream that was chosen for a request."""

from typing import final

import msgspec


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The chosen upstream, its address, and why it was chosen.

    `cached_tokens` counts the prompt tokens that are expected to be in the
    prefix cache of the upstream; `version` is empty for a plain service.
    `predicted_first_token_ms` is the predicted time to the first token.
    """

    upstream: str
    address: str
    failure_domain: str
    explanation: str
    version: str = ''
    predicted_first_token_ms: float = 0
    cached_tokens: int = 0
