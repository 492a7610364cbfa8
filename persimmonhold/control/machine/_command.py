"""The union of all commands in the control log."""

from typing import TypeAlias

from persimmonhold.control.machine._claim_key import ClaimKey
from persimmonhold.control.machine._delete_entry import DeleteEntry
from persimmonhold.control.machine._drain_vm import DrainVm
from persimmonhold.control.machine._end_claim import EndClaim
from persimmonhold.control.machine._forget_vm import ForgetVm
from persimmonhold.control.machine._put_entry import PutEntry
from persimmonhold.control.machine._put_routes import PutRoutes
from persimmonhold.control.machine._record_copy import RecordCopy
from persimmonhold.control.machine._record_fleet_controller import (
    RecordFleetController,
)
from persimmonhold.control.machine._record_intent import RecordIntent
from persimmonhold.control.machine._record_order_end import RecordOrderEnd
from persimmonhold.control.machine._register_vm import RegisterVm

__all__ = ('Command', 'OperatorChange', 'PutRoutes', 'RecordFleetController')

Command: TypeAlias = (
    PutEntry
    | PutRoutes
    | DeleteEntry
    | RecordIntent
    | RecordOrderEnd
    | RecordFleetController
    | RecordCopy
    | ClaimKey
    | EndClaim
    | RegisterVm
    | DrainVm
    | ForgetVm
)

OperatorChange: TypeAlias = PutEntry | DeleteEntry | DrainVm | ForgetVm
