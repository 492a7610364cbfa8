"""What may be repeated of the requests on a route."""

import enum
from typing import final


@final
@enum.unique
class RouteKind(enum.StrEnum):
    """How often a request may run, and how it is answered.

    A `stream` is answered by events; it may run again only where its route
    is resumable.
    """

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'
