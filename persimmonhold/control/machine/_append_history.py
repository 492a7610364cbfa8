"""Appends accepted operator changes to the hash-chained history."""

import hashlib

import msgspec

from persimmonhold.control.machine._command import OperatorChange
from persimmonhold.control.machine._control_state import ControlState
from persimmonhold.control.machine._delete_entry import DeleteEntry
from persimmonhold.control.machine._drain_vm import DrainVm
from persimmonhold.control.machine._forget_vm import ForgetVm
from persimmonhold.control.machine._history_record import (
    GENESIS_DIGEST,
    HistoryRecord,
)
from persimmonhold.control.machine._put_entry import PutEntry


def append_history(
    state: ControlState,
    command: OperatorChange,
    content_digest: str,
) -> None:
    """Append the record of a change that was just applied."""
    history = state.history
    record = HistoryRecord(
        revision=state.catalogue.revision,
        at_ms=command.at_ms,
        operator=command.operator,
        command_id=command.command_id,
        action=_action_name(command),
        name=command.name,
        reason=command.reason,
        content_digest=content_digest,
        previous_digest=history[-1].digest if history else GENESIS_DIGEST,
    )
    history.append(record.with_digest())


def digest_content(command: OperatorChange) -> str:
    """Return the digest that tells a resend from a different command.

    The time of the command is left out, because a resend may change it.
    """
    content = msgspec.structs.replace(command, at_ms=0)
    encoded = msgspec.json.encode(content, order='sorted')
    return hashlib.sha256(encoded).hexdigest()


def _action_name(command: OperatorChange) -> str:
    match command:
        case PutEntry():
            return 'put'
        case DeleteEntry():
            return 'delete'
        case DrainVm():
            return 'drain' if command.draining else 'undrain'
        case ForgetVm():
            return 'forget'
