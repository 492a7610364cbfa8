"""A time in which an entry sends an upstream no new requests."""

from typing import final

import msgspec

from persimmonhold.sparing._sparing_cause import SparingCause
from persimmonhold.sparing._sparing_view import SparingView


@final
class Sparing(msgspec.Struct, frozen=True):
    """A sparing in force, since `began_at`.

    `sent_before` counts the requests that the entry had sent to the service.
    `planned_s` is how long it is to last, or None if it has no end.
    """

    upstream: str
    cause: SparingCause
    view: SparingView
    began_at: float
    sent_before: int
    planned_s: float | None = None
