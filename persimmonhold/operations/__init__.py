"""A client of the operator interface, for the command line."""

from persimmonhold.operations._catalogue_change import (
    ENTRIES_PATH,
    AppliedChange,
    ChangeKind,
    apply_entry,
)
from persimmonhold.operations._operator_client import OperatorClient
from persimmonhold.operations._operator_reply import OperatorReply

__all__ = (
    'ENTRIES_PATH',
    'AppliedChange',
    'ChangeKind',
    'OperatorClient',
    'OperatorReply',
    'apply_entry',
)
