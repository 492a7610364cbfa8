"""Checks a whole routing document before it is proposed."""

from persimmonhold.routes._find_engine_error import find_engine_error
from persimmonhold.routes._find_workspace_error import find_workspace_error
from persimmonhold.routes._routing_document import RoutingDocument
from persimmonhold.routes._validate_document import validate_document


def find_document_error(document: RoutingDocument) -> str:
    """Return the first error, or an empty string if the document is valid."""
    return (
        validate_document(document)
        or find_engine_error(document)
        or find_workspace_error(document)
    )
