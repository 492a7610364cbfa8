"""The command that replaces the routing document."""

from typing import final

import msgspec

from persimmonhold import routes
from persimmonhold.routes import RoutingDocument


@final
class PutRoutes(msgspec.Struct, frozen=True, kw_only=True, tag='put_routes'):
    """Replaces the routing document if its version is higher.

    A document whose version is not higher is answered as done, without
    effect, so that a resend gets the same answer however late it arrives.
    """

    at_ms: int
    document: RoutingDocument

    @property
    def validation_error(self) -> str:
        """The first error in the document, or an empty string."""
        return routes.validate_document(self.document)
