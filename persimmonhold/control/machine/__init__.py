"""The replicated state machine of control; it performs no I/O."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.control.machine._claim import Claim
from persimmonhold.control.machine._claim_key import ClaimKey
from persimmonhold.control.machine._command import (
    Command,
    OperatorChange,
    PutRoutes,
    RecordFleetController,
)
from persimmonhold.control.machine._command_result import CommandResult
from persimmonhold.control.machine._command_status import CommandStatus
from persimmonhold.control.machine._completed_command import CompletedCommand
from persimmonhold.control.machine._delete_entry import DeleteEntry
from persimmonhold.control.machine._drain_vm import DrainVm
from persimmonhold.control.machine._end_claim import EndClaim
from persimmonhold.control.machine._forget_vm import ForgetVm
from persimmonhold.control.machine._put_entry import PutEntry
from persimmonhold.control.machine._record_copy import RecordCopy
from persimmonhold.control.machine._record_intent import RecordIntent
from persimmonhold.control.machine._record_order_end import (
    RecordOrderEnd,
    change_streams,
)
from persimmonhold.control.machine._register_vm import RegisterVm
from persimmonhold.control.machine._view_state import (
    ViewState,
    copy_key,
    view_digest,
)

if TYPE_CHECKING:
    from persimmonhold.control.machine._control_state import ControlState
    from persimmonhold.control.machine._control_state_machine import (
        ControlStateMachine,
        FitCheck,
        accept_any_catalogue,
    )
    from persimmonhold.control.machine._digest_set import DigestSet
    from persimmonhold.control.machine._history_record import (
        GENESIS_DIGEST,
        HistoryRecord,
    )
    from persimmonhold.control.machine._state_machine_limits import (
        StateMachineLimits,
    )
    from persimmonhold.control.machine._verify_history import verify_history

__all__ = (
    'GENESIS_DIGEST',
    'Claim',
    'ClaimKey',
    'Command',
    'CommandResult',
    'CommandStatus',
    'ControlStateMachine',
    'ControlState',
    'DeleteEntry',
    'DigestSet',
    'DrainVm',
    'EndClaim',
    'FitCheck',
    'ForgetVm',
    'HistoryRecord',
    'StateMachineLimits',
    'OperatorChange',
    'CompletedCommand',
    'PutEntry',
    'PutRoutes',
    'RecordCopy',
    'RecordIntent',
    'RecordOrderEnd',
    'RecordFleetController',
    'RegisterVm',
    'ViewState',
    'change_streams',
    'copy_key',
    'accept_any_catalogue',
    'verify_history',
    'view_digest',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'ControlState': '_control_state',
            'ControlStateMachine': '_control_state_machine',
            'DigestSet': '_digest_set',
            'FitCheck': '_control_state_machine',
            'GENESIS_DIGEST': '_history_record',
            'HistoryRecord': '_history_record',
            'StateMachineLimits': '_state_machine_limits',
            'accept_any_catalogue': '_control_state_machine',
            'verify_history': '_verify_history',
        },
    )
