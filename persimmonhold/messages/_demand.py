"""The demand for one model or adapter."""

from typing import final

import msgspec


@final
class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """Load offered to `target` at one entry, or the sum over all entries.

    An entry measures it over its last reporting period.

    `prompt_tokens_per_second` and `output_tokens_per_second` describe the
    work; `waiting` is the number of requests that were queued, or refused
    for lack of capacity.
    """

    target: str
    requests_per_second: float
    prompt_tokens_per_second: float
    output_tokens_per_second: float
    waiting: int = 0
