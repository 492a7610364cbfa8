"""Error types, and the refusals that callers receive."""

from persimmonhold.failures._failure import Failure
from persimmonhold.failures._kind import FailureKind
from persimmonhold.failures._ran import Ran
from persimmonhold.failures._refusal import REFUSAL_STATUS, Refusal
from persimmonhold.failures._refusal_reason import RefusalReason
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
