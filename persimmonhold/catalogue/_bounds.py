"""The latency bounds of an entry."""

from typing import final

import msgspec


@final
class Bounds(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Maximum latencies that an entry promises, in milliseconds.

    `first_token_ms` bounds the time to the first token, `token_gap_ms` the
    time between two tokens and `deadline_ms` the whole request, unless the
    caller sets its own deadline.
    """

    first_token_ms: int = 550
    token_gap_ms: int = 69
    deadline_ms: int = 30_000
