"""Checks the keys of requests against the document in force."""

import math
from typing import Final, final

from persimmonhold.control.shell import ControlLink
from persimmonhold.forwarding._active_routes import ActiveRoutes
from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._forward_request import ForwardRequest
from persimmonhold.routes import ForwardRoute, KeyVerdict
from persimmonhold.web import RequestHead

REVOCATION_UNSURE: Final = 'revocation_unsure'  # reason of refusals


@final
class KeyCheck:
    """Finds the workspace of a request, on its arrival and before it is sent.

    The document may change while a request waits, so each check refers to the
    document that is in force then. An entry whose last proof of control is older
    than `max_proof_age_s` accepts no key, as it may have been withdrawn.
    """

    __slots__ = ('dialect', 'link', 'max_proof_age_s', 'routes')

    def __init__(
        self,
        routes: ActiveRoutes,
        dialect: Dialect,
        link: ControlLink,
        max_proof_age_s: float = math.inf,
    ) -> None:
        """Create the check of an entry."""
        self.routes = routes
        self.dialect = dialect
        self.link = link
        self.max_proof_age_s = max_proof_age_s

    def hash_key(self, route: ForwardRoute, head: RequestHead) -> str:
        """Return the digest of the key that a request needs, or ''."""
        if not self.routes.table.needs_key(route):
            return ''
        return self.dialect.hash_key(head)

    def check_route(self, route: ForwardRoute, key_hash: str) -> KeyVerdict:
        """Return the verdict on a request to a route of the present table."""
        table = self.routes.table
        if key_hash and table.needs_key(route) and self._is_unsure:
            return KeyVerdict(refusal=REVOCATION_UNSURE)
        return table.check_key(route, key_hash)

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

    @property
    def _is_unsure(self) -> bool:
        """Whether a change of the keys may have been missed for too long."""
        return self.link.control_proof_age_s > self.max_proof_age_s
