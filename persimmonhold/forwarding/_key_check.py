"""Checks the keys of requests against the document in force."""

from typing import final

from persimmonhold.forwarding._active_routes import ActiveRoutes
from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.routes import ForwardRoute, KeyVerdict
from persimmonhold.web import RequestHead


@final
class KeyCheck:
    """Finds the workspace of a request, on its arrival and before it is sent.

    The document may change while a request waits, so each check refers to the
    document that is in force then.
    """

    __slots__ = ('dialect', 'routes')

    def __init__(self, routes: ActiveRoutes, dialect: Dialect) -> None:
        """Create the check of an entry."""
        self.routes = routes
        self.dialect = dialect

    def hash_key(self, route: ForwardRoute, head: RequestHead) -> str:
        """Return the digest of the key that a request needs, or ''."""
        if not self.routes.table.needs_key(route):
            return ''
        return self.dialect.hash_key(head)

    def check_route(self, route: ForwardRoute, key_hash: str) -> KeyVerdict:
        """Return the verdict on a request to a route of the present table."""
        return self.routes.table.check_key(route, key_hash)

    def check_request(self, request: ForwardRequest) -> KeyVerdict:
        """Return the verdict on a request that was taken in before."""
        table = self.routes.refresh()
        head = request.head
        route = (
            table.find_route(head.header('host'), head.raw_path)
            or request.dispatch_request.route
        )
        # The key of a request that needed none on arrival is not hashed yet.
        key_hash = request.key_hash or self.hash_key(route, head)
        return self.check_route(route, key_hash)
