"""A past time in which an entry sent an upstream no new requests."""

from typing import final

import msgspec

from persimmonhold.sparing._sparing_cause import SparingCause


@final
class EndedSparing(msgspec.Struct, frozen=True):
    """A sparing that has ended.

    `lasted_s` is its duration; `sent_elsewhere` counts the requests that the
    entry sent to other upstreams of the service meanwhile.
    """

    upstream: str
    cause: SparingCause
    lasted_s: float
    sent_elsewhere: int
