"""Applies commands to the replicated state.

Invariants: applying is deterministic; a command of an operator takes effect
once, whatever is resent; the catalogue revision rises by one with each
accepted change.
"""

import hashlib
from typing import final

import msgspec

from persimmonhold.catalogue import Catalogue
from persimmonhold.control.machine._claim import Claim
from persimmonhold.control.machine._claim_key import ClaimKey
from persimmonhold.control.machine._command import Command
from persimmonhold.control.machine._command_result import CommandResult
from persimmonhold.control.machine._command_status import CommandStatus
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
from persimmonhold.messages import ControlView


@final
class ControlMachine:
    """The state machine of the control log."""

    __slots__ = ('state',)

    def __init__(self) -> None:
        """Create the machine before the first command."""
        self.state = ControlState()

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply the command at a log index."""
        self.state.index = index
        match command:
            case PutEntry() | DeleteEntry():
                return self._change_catalogue(index, command)
            case ClaimKey():
                return self._claim(index, command)
            case EndClaim():
                return self._end_claim(index, command)
            case _:
                self._record(index, command)
        return self._result(CommandStatus.done)

    def view(self) -> ControlView:
        """Return what the entries hold of the state."""
        state = self.state
        return ControlView(
            index=state.index,
            catalogue=state.catalogue,
            copies=tuple(state.copies.values()),
            vms=tuple(state.vms.values()),
        )

    def _result(
        self,
        status: CommandStatus,
        detail: str = '',
    ) -> CommandResult:
        return CommandResult(
            index=self.state.index,
            status=status,
            revision=self.state.catalogue.revision,
            detail=detail,
        )

    def _record(
        self,
        index: int,
        command: RecordIntent | RecordOrderEnd | RecordCopy | RegisterVm,
    ) -> None:
        match command:
            case RecordIntent():
                order = msgspec.structs.replace(command.order, fence=index)
                self.state.orders[index] = order
            case RecordOrderEnd():
                self.state.orders.pop(command.fence, None)
            case RecordCopy():
                self._record_copy(command)
            case RegisterVm():
                self._register_vm(command)

    def _record_copy(self, command: RecordCopy) -> None:
        copy = command.copy
        key = (copy.target, copy.version, copy.upstream, copy.accelerator)
        if command.gone:
            self.state.copies.pop(key, None)
        else:
            self.state.copies[key] = copy

    def _register_vm(self, command: RegisterVm) -> None:
        if command.gone:
            self.state.vms.pop(command.vm.name, None)
        else:
            self.state.vms[command.vm.name] = command.vm

    def _change_catalogue(
        self,
        index: int,
        command: PutEntry | DeleteEntry,
    ) -> CommandResult:
        key = (command.operator, command.command_id)
        digest = _content_digest(command)
        answered = self.state.commands.get(key)
        if answered is not None:
            if answered.content_digest == digest:
                return answered.result
            return self._result(CommandStatus.command_id_reused)
        result = self._compare_and_set(command, digest)
        self.state.commands[key] = OperatorCommand(
            content_digest=digest,
            result=result,
        )
        return result

    def _compare_and_set(
        self,
        command: PutEntry | DeleteEntry,
        digest: str,
    ) -> CommandResult:
        catalogue = self.state.catalogue
        present = catalogue.entry_revision(command.name)
        if command.expected_revision != present:
            return msgspec.structs.replace(
                self._result(CommandStatus.revision_conflict),
                entry_revision=present,
            )
        if isinstance(command, PutEntry):
            changed = catalogue.with_entry(command.entry)
        else:
            changed = catalogue.without_entry(command.name)
        return self._accept(command, changed, digest)

    def _accept(
        self,
        command: PutEntry | DeleteEntry,
        changed: Catalogue,
        digest: str,
    ) -> CommandResult:
        history = self.state.history
        previous = history[-1].digest if history else GENESIS_DIGEST
        self.state.catalogue = changed
        action = 'put' if isinstance(command, PutEntry) else 'delete'
        record = HistoryRecord(
            revision=changed.revision,
            at_ms=command.at_ms,
            operator=command.operator,
            command_id=command.command_id,
            action=action,
            name=command.name,
            reason=command.reason,
            content_digest=digest,
            previous_digest=previous,
        )
        history.append(record.sealed())
        return msgspec.structs.replace(
            self._result(CommandStatus.done),
            entry_revision=changed.entry_revision(command.name),
        )

    def _claim(self, index: int, command: ClaimKey) -> CommandResult:
        scope = (command.caller, command.service, command.key)
        held = self.state.claims.get(scope)
        if held is None:
            self.state.claims[scope] = _new_claim(index, command)
            return self._claim_result(
                CommandStatus.claim_granted,
                self.state.claims[scope],
            )
        return self._claim_result(_claim_status(held, command), held)

    def _claim_result(
        self,
        status: CommandStatus,
        claim: Claim,
    ) -> CommandResult:
        return msgspec.structs.replace(
            self._result(status),
            claim=claim.index,
            outcome=claim.outcome,
        )

    def _end_claim(self, index: int, command: EndClaim) -> CommandResult:
        for scope, claim in self.state.claims.items():
            if claim.index == command.claim:
                self._settle(scope, claim, command)
                return self._result(CommandStatus.done)
        return self._result(CommandStatus.not_found)

    def _settle(
        self,
        scope: tuple[str, str, str],
        claim: Claim,
        command: EndClaim,
    ) -> None:
        if claim.outcome is not None:
            return
        if command.outcome is None and not command.in_doubt:
            self.state.claims.pop(scope)
            return
        self.state.claims[scope] = msgspec.structs.replace(
            claim,
            outcome=command.outcome,
            in_doubt=command.in_doubt,
        )


def _content_digest(command: PutEntry | DeleteEntry) -> str:
    content = msgspec.structs.replace(command, at_ms=0)
    encoded = msgspec.json.encode(content, order='sorted')
    return hashlib.sha256(encoded).hexdigest()


def _new_claim(index: int, command: ClaimKey) -> Claim:
    return Claim(
        index=index,
        at_ms=command.at_ms,
        caller=command.caller,
        service=command.service,
        key=command.key,
        content_digest=command.content_digest,
        request_id=command.request_id,
        vm=command.vm,
    )


def _claim_status(held: Claim, command: ClaimKey) -> CommandStatus:
    if held.content_digest != command.content_digest:
        return CommandStatus.claim_conflict
    if held.outcome is not None:
        return CommandStatus.claim_completed
    if held.in_doubt:
        return CommandStatus.claim_in_doubt
    if held.request_id == command.request_id:
        return CommandStatus.claim_granted
    return CommandStatus.claim_held
