"""Applies commands to the replicated state.

Invariants: applying is deterministic; an operator command takes effect at
most once, however often it is resent; the catalogue revision rises by one
with each accepted catalogue change. The cost of a command depends on the
items that it changes, not on the size of the state.
"""

from collections.abc import Callable
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.catalogue import (
    Catalogue,
    ServiceEntry,
    StoredEntry,
    UpstreamEntry,
    validate_entry,
    validate_removal,
)
from persimmonhold.control.machine._append_history import (
    append_history,
    digest_content,
)
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
from persimmonhold.control.machine._control_state import ControlState
from persimmonhold.control.machine._delete_entry import DeleteEntry
from persimmonhold.control.machine._drain_vm import DrainVm
from persimmonhold.control.machine._end_claim import EndClaim
from persimmonhold.control.machine._forget_vm import ForgetVm
from persimmonhold.control.machine._put_entry import PutEntry
from persimmonhold.control.machine._record_copy import RecordCopy
from persimmonhold.control.machine._record_intent import RecordIntent
from persimmonhold.control.machine._record_order_end import RecordOrderEnd
from persimmonhold.control.machine._register_vm import RegisterVm
from persimmonhold.control.machine._state_image import (
    IMAGE_VERSION,
    StateImage,
    build_image,
    restore_state,
)
from persimmonhold.control.machine._state_machine_limits import (
    StateMachineLimits,
)
from persimmonhold.control.machine._view_state import copy_key
from persimmonhold.messages import ControlView, ViewChange, VmRecord

FitCheck: TypeAlias = Callable[[Catalogue], str]
_COMMANDS_TRIGGERING_EXPIRY: Final = (
    PutEntry,
    DeleteEntry,
    DrainVm,
    ForgetVm,
    ClaimKey,
    EndClaim,
)


def accept_any_catalogue(catalogue: Catalogue) -> str:
    """Return an empty string: without placement, any catalogue fits."""
    return ''


@final
class ControlStateMachine:
    """The state machine of the control log."""

    __slots__ = ('_check_fit', '_limits', 'state')

    def __init__(
        self,
        check_fit: FitCheck = accept_any_catalogue,
        limits: StateMachineLimits | None = None,
    ) -> None:
        """Create the state machine with an empty state.

        `check_fit` returns by how much a catalogue exceeds the memory of
        its accelerators, or an empty string.
        """
        self._check_fit = check_fit
        self._limits = limits or StateMachineLimits()
        self.state = ControlState(self._limits)

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply the command at a log index and return its result.

        The command must have been decoded from the log: digests are computed
        over encoded items, and decoding normalizes their encoding.
        """
        self.state.index = index
        self._advance_clock(command)
        match command:
            case PutEntry() | DeleteEntry() | DrainVm() | ForgetVm():
                return self._apply_operator_change(command)
            case PutRoutes():
                return self._put_routes(command)
            case ClaimKey():
                return self._claim_key(index, command)
            case EndClaim():
                claims = self.state.claims
                return self._build_result(
                    claims.end_claim(self.state.clock_ms, command)
                )
            case _:
                self._apply_record(index, command)
        return self._build_result(CommandStatus.done)

    def view(self) -> ControlView:
        """Return the part of the state that every entry receives."""
        return self.state.view.view()

    def snapshot(self) -> bytes:
        """Return the whole state in encoded form."""
        return msgspec.msgpack.encode(build_image(self.state))

    def restore(self, encoded: bytes) -> None:
        """Replace the state; raises `ValueError` for another format version."""
        image = msgspec.msgpack.decode(encoded, type=StateImage)
        if image.version != IMAGE_VERSION:
            raise ValueError(
                f'snapshot version {image.version}: expected {IMAGE_VERSION}'
            )
        self.state = restore_state(image, self._limits)

    def _advance_clock(self, command: Command) -> None:
        """Advance the clock; some commands expire old results and claims."""
        state = self.state
        step_ms = max(command.at_ms - state.clock_ms, 0)
        if state.clock_ms:
            step_ms = min(step_ms, self._limits.max_clock_step_ms)
        state.clock_ms += step_ms
        if isinstance(command, _COMMANDS_TRIGGERING_EXPIRY):
            state.commands.expire_commands(state.clock_ms)
            state.claims.expire_claims(state.clock_ms)

    def _build_result(
        self,
        status: CommandStatus,
        detail: str = '',
        entry_revision: int = 0,
    ) -> CommandResult:
        return CommandResult(
            index=self.state.index,
            status=status,
            revision=self.state.catalogue.revision,
            entry_revision=entry_revision,
            detail=detail,
        )

    def _apply_record(
        self,
        index: int,
        command: RecordIntent
        | RecordOrderEnd
        | RecordFleetController
        | RecordCopy
        | RegisterVm,
    ) -> None:
        match command:
            case RecordFleetController():
                self.state.fleet_controller = command.vm
            case RecordIntent():
                order = msgspec.structs.replace(command.order, fence=index)
                self.state.orders[index] = order
            case RecordOrderEnd():
                self.state.orders.pop(command.fence, None)
                if command.streams is not msgspec.UNSET:
                    self.state.streams.apply(index, command.streams)
            case RecordCopy():
                self._record_copy(command)
            case RegisterVm():
                self._register_vm(command)

    def _new_view_change(self, revision: int | None = None) -> ViewChange:
        if revision is None:
            revision = self.state.catalogue.revision
        return ViewChange(
            index=self.state.index,
            previous=self.state.view.index,
            revision=revision,
        )

    def _record_copy(self, command: RecordCopy) -> None:
        existing = self.state.copies.get(copy_key(command.copy))
        wanted = None if command.gone else command.copy
        if existing == wanted:
            return
        change = msgspec.structs.replace(
            self._new_view_change(),
            copy=command.copy,
            copy_gone=command.gone,
        )
        self.state.view.apply_change(change)

    def _register_vm(self, command: RegisterVm) -> None:
        existing = self.state.vms.get(command.vm.name)
        vm = _preserve_draining(command.vm, existing)
        if command.gone:
            self.state.claims.mark_in_doubt(vm.name, None)
        elif vm.incarnation:
            self.state.claims.mark_in_doubt(vm.name, vm.incarnation)
        wanted = None if command.gone else vm
        if existing == wanted:
            return
        change = msgspec.structs.replace(
            self._new_view_change(),
            vm=vm,
            vm_gone=command.gone,
        )
        self.state.view.apply_change(change)

    def _put_routes(self, command: PutRoutes) -> CommandResult:
        if command.validation_error:
            return self._build_result(
                CommandStatus.bad_entry, command.validation_error
            )
        if command.document.version > self.state.view.routes.version:
            change = msgspec.structs.replace(
                self._new_view_change(),
                routes=command.document,
            )
            self.state.view.apply_change(change)
        return self._build_result(CommandStatus.done)

    def _apply_operator_change(self, command: OperatorChange) -> CommandResult:
        commands = self.state.commands
        digest = digest_content(command)
        recorded = commands.find(command.operator, command.command_id, digest)
        if isinstance(recorded, CommandStatus):
            return self._build_result(recorded)
        if recorded is not None:
            return recorded
        if isinstance(command, (DrainVm, ForgetVm)):
            result = self._apply_vm_change(command, digest)
        else:
            result = self._apply_entry_command(command, digest)
        commands.record_command(
            CompletedCommand(
                operator=command.operator,
                command_id=command.command_id,
                at_ms=self.state.clock_ms,
                content_digest=digest,
                result=result,
            ),
        )
        return result

    def _apply_vm_change(
        self,
        command: DrainVm | ForgetVm,
        digest: str,
    ) -> CommandResult:
        vm = self.state.vms.get(command.name)
        if vm is None:
            return self._build_result(CommandStatus.not_found)
        gone = isinstance(command, ForgetVm)
        changed = vm
        if isinstance(command, DrainVm):
            changed = msgspec.structs.replace(vm, draining=command.draining)
        if gone or changed != vm:
            change = msgspec.structs.replace(
                self._new_view_change(),
                vm=changed,
                vm_gone=gone,
            )
            self.state.view.apply_change(change)
        if gone:
            self.state.claims.mark_in_doubt(vm.name, None)
        append_history(self.state, command, digest)
        return self._build_result(CommandStatus.done)

    def _apply_entry_command(
        self,
        command: PutEntry | DeleteEntry,
        digest: str,
    ) -> CommandResult:
        """Apply a valid change if its expected revision is the current one."""
        current_revision = self.state.catalogue.entry_revision(command.name)
        if command.expected_revision != current_revision:
            return self._build_result(
                CommandStatus.revision_conflict,
                entry_revision=current_revision,
            )
        if isinstance(command, DeleteEntry) and not current_revision:
            return self._build_result(CommandStatus.not_found)
        refusal = self._find_refusal(command)
        if refusal is not None:
            return refusal
        self._apply_entry_change(command)
        append_history(self.state, command, digest)
        return self._build_result(
            CommandStatus.done,
            entry_revision=self.state.catalogue.entry_revision(command.name),
        )

    def _find_refusal(
        self,
        command: PutEntry | DeleteEntry,
    ) -> CommandResult | None:
        """Return the refusal of a change that is invalid or does not fit."""
        catalogue = self.state.catalogue
        if isinstance(command, PutEntry):
            status = CommandStatus.bad_entry
            error = validate_entry(catalogue, command.entry)
            changed = catalogue.with_entry(command.entry)
        else:
            status = CommandStatus.in_use
            error = validate_removal(catalogue, command.name)
            changed = catalogue.without_entry(command.name)
        if error:
            return self._build_result(status, error)
        shortage = self._check_fit(changed) if _needs_fit_check(command) else ''
        if shortage:
            return self._build_result(CommandStatus.does_not_fit, shortage)
        return None

    def _apply_entry_change(self, command: PutEntry | DeleteEntry) -> None:
        revision = self.state.catalogue.revision + 1
        change = self._new_view_change(revision)
        if isinstance(command, PutEntry):
            stored = StoredEntry(revision, command.entry)
            change = msgspec.structs.replace(change, stored=stored)
        else:
            change = msgspec.structs.replace(change, removed=command.name)
        self.state.view.apply_change(change)

    def _claim_key(self, index: int, command: ClaimKey) -> CommandResult:
        if command.incarnation:
            vm = self.state.vms.get(command.vm)
            if vm is None or vm.incarnation != command.incarnation:
                return self._build_result(CommandStatus.claim_unregistered)
        claims = self.state.claims
        status, claim = claims.claim_key(index, command)
        return msgspec.structs.replace(
            self._build_result(status),
            claim=claim.index if claim else 0,
            outcome=claim.outcome if claim else None,
        )


def _preserve_draining(vm: VmRecord, existing: VmRecord | None) -> VmRecord:
    """Return `vm`, still draining if the same incarnation was draining."""
    if existing is None or not vm.incarnation:
        return vm
    if existing.incarnation != vm.incarnation:
        return vm
    draining = existing.draining or vm.draining
    return msgspec.structs.replace(vm, draining=draining)


def _needs_fit_check(command: PutEntry | DeleteEntry) -> bool:
    """Return whether a change may make the models exceed accelerator memory.

    Services need no accelerator memory and a new upstream only adds some; all
    other changes need the check.
    """
    if isinstance(command, DeleteEntry):
        return True
    if isinstance(command.entry, ServiceEntry):
        return False
    is_new = command.expected_revision == 0
    return not (is_new and isinstance(command.entry, UpstreamEntry))
