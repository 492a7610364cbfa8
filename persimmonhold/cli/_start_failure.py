"""Classifies the errors of a process that cannot start."""

from typing import Final

from persimmonhold.failures import Failure, FailureKind, StartError

_ADDRESS_ERROR_TEXTS: Final = (
    'address already in use',
    'cannot assign requested',
)


def classify_start_error(peer: str, error: OSError) -> Failure:
    """Return the failure for an error that a component raised on start.

    A `StartError` carries its failure. Any other `OSError` is reported as an
    address or a storage failure, depending on its text.
    """
    if isinstance(error, StartError):
        return error.failure
    detail = error.strerror or str(error)
    is_address_error = any(
        text in detail.lower() for text in _ADDRESS_ERROR_TEXTS
    )
    kind = FailureKind.storage_unwritable
    if is_address_error:
        kind = FailureKind.address_in_use
    return Failure(kind=kind, step='start', peer=peer, detail=detail)
