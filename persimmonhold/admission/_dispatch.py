"""The action that sends a request to an upstream."""

from typing import final

import msgspec

from persimmonhold.routing import Route


@final
class Dispatch(msgspec.Struct, frozen=True):
    """Send the request to the route's upstream now.

    `priority` is passed to the engine; 0 is the highest.
    """

    request_id: str
    route: Route
    priority: int
