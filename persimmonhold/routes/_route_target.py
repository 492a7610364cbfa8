"""A target service of a route."""

from typing import final

import msgspec


@final
class RouteTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and its share of the requests of the route."""

    service: str
    weight: float = 1.0
