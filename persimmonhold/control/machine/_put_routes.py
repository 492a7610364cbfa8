"""The command that replaces the routing document."""

from typing import final

import msgspec

from persimmonhold.routes import RoutingDocument, validate_document


@final
class PutRoutes(msgspec.Struct, frozen=True, kw_only=True, tag='put_routes'):
    """Takes effect where its version is above the one that is held.

    A version that is not above it is done without effect, so that a resend
    gets the same answer however late it comes.
    """

    at_ms: int
    document: RoutingDocument

    @property
    def validation_error(self) -> str:
        """What is wrong with the document, or nothing."""
        return validate_document(self.document)
