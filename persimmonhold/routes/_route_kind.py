"""Whether the requests of a route may be retried."""

import enum
from typing import final


@final
@enum.unique
class RouteKind(enum.StrEnum):
    """Whether requests may be executed again, and how they are answered.

    A `stream` is answered by events; it may be executed again only if its
    route is resumable.
    """

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'
