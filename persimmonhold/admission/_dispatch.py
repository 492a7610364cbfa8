"""The action that sends a request."""

from typing import final

import msgspec

from persimmonhold.routing import Route


@final
class Dispatch(msgspec.Struct, frozen=True):
    """Send the request along the route now.

    `priority` is for the engine; 0 goes first.
    """

    request_id: str
    route: Route
    priority: int
