"""The replicated state machine; it performs no input or output."""

from persimmonhold.control.machine._claim import Claim
from persimmonhold.control.machine._claim_key import ClaimKey
from persimmonhold.control.machine._command import Command
from persimmonhold.control.machine._command_result import CommandResult
from persimmonhold.control.machine._command_status import CommandStatus
from persimmonhold.control.machine._control_machine import ControlMachine
from persimmonhold.control.machine._control_state import ControlState
from persimmonhold.control.machine._delete_entry import DeleteEntry
from persimmonhold.control.machine._end_claim import EndClaim
from persimmonhold.control.machine._history_record import (
    GENESIS_DIGEST,
    HistoryRecord,
)
from persimmonhold.control.machine._operator_command import OperatorCommand
from persimmonhold.control.machine._put_entry import PutEntry
from persimmonhold.control.machine._record_copy import RecordCopy
from persimmonhold.control.machine._record_intent import RecordIntent
from persimmonhold.control.machine._record_order_end import RecordOrderEnd
from persimmonhold.control.machine._register_vm import RegisterVm

__all__ = (
    'GENESIS_DIGEST',
    'Claim',
    'ClaimKey',
    'Command',
    'CommandResult',
    'CommandStatus',
    'ControlMachine',
    'ControlState',
    'DeleteEntry',
    'EndClaim',
    'HistoryRecord',
    'OperatorCommand',
    'PutEntry',
    'RecordCopy',
    'RecordIntent',
    'RecordOrderEnd',
    'RegisterVm',
)
