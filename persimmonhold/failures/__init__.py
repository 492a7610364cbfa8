"""Error types, and the refusals that callers receive."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.failures._failure import Failure
from persimmonhold.failures._kind import FailureKind
from persimmonhold.failures._ran import Ran
from persimmonhold.failures._refusal import REFUSAL_STATUS, Refusal
from persimmonhold.failures._refusal_reason import RefusalReason

if TYPE_CHECKING:
    from persimmonhold.failures._start_error import StartError

__all__ = (
    'REFUSAL_STATUS',
    'Failure',
    'FailureKind',
    'Ran',
    'Refusal',
    'RefusalReason',
    'StartError',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'StartError': '_start_error',
        },
    )
