"""A control replica: its log, its state machine and the reports of VMs.

Invariants: a command is answered only after it is committed and applied. An
operator's change is reported as accepted only after a majority of the
registered VMs has applied it, so no majority of VMs can serve without it; the
settings may let silent VMs be left out of that (see `ViewAcceptance`). It also
waits, for a limited time, for replicas that are about to become voters.
"""

import asyncio
import time
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.control.machine import (
    Command,
    CommandResult,
    CommandStatus,
    ControlState,
    ControlStateMachine,
    FitCheck,
    OperatorChange,
    PutRoutes,
    RegisterVm,
)
from persimmonhold.control.shell._control_applier import ControlApplier
from persimmonhold.control.shell._control_messages import VmReport
from persimmonhold.control.shell._placement_host import PlacementHost
from persimmonhold.control.shell._single_replica_log import SingleReplicaLog
from persimmonhold.control.shell._view_acceptance import ViewAcceptance
from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner
from persimmonhold.control.shell._vm_report_tracker import VmReportTracker
from persimmonhold.control.shell._voter_wait import VoterWait
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.messages import ControlView, Demand
from persimmonhold.placement import explain_misfit
from persimmonhold.replication import ReplicatedLog
from persimmonhold.routes import (
    RoutingDocument,
    find_document_error,
)

_MS_PER_S: Final = 1000


@final
class ControlNode(PlacementHost):
    """One control replica; without a VM it is a single-process system."""

    __slots__ = (
        '_applier',
        '_is_publish_scheduled',
        '_membership_lock',
        '_owned_log',
        '_stack',
        'acceptance',
        'state_changed',
        'local_demand',
        'log',
        'report_tracker',
        'vm',
        'voter_wait',
    )

    def __init__(
        self,
        applier: ControlApplier,
        log: ReplicatedLog,
        vm: VmAgentRunner | None = None,
    ) -> None:
        """Create a node on a log that applies through `applier`."""
        self.log = log
        self.vm = vm
        self.state_changed = asyncio.Event()
        self.local_demand: tuple[Demand, ...] = ()
        self._applier = applier
        self._is_publish_scheduled = False
        self._membership_lock = asyncio.Lock()
        self._owned_log: SingleReplicaLog | None = None
        self._stack = ExitStack()
        applier.subscribe(self._handle_applied)
        lease_s = vm.timings.lease_s if vm else 0
        self.report_tracker = VmReportTracker(lease_s)
        self.voter_wait = VoterWait(log)
        self.acceptance: ViewAcceptance | None = None
        if vm is not None:
            self.acceptance = ViewAcceptance(vm, self.report_tracker)
            vm.local_report_handler = self.record_report

    @classmethod
    def create_single_replica(
        cls,
        directory: Path,
        fit_check: FitCheck = explain_misfit,
    ) -> Self:
        """Return the only replica of a system; it owns its log file."""
        applier = ControlApplier(ControlStateMachine(fit_check))
        log = SingleReplicaLog(directory, applier)
        node = cls(applier, log)
        node._owned_log = log  # noqa: SLF001 # A constructor of this class.
        return node

    def __enter__(self) -> Self:
        """Open the log file if this node owns one."""
        if self._owned_log is not None:
            self._stack.enter_context(self._owned_log)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the log file."""
        self._stack.close()

    def recover(self) -> Result[int, Failure]:
        """Apply the log file if this node owns one.

        Returns the index of the last applied command.
        """
        if self._owned_log is None:
            return Success(self.log.applied_index)
        return self._owned_log.recover()

    @property
    def machine(self) -> ControlStateMachine:
        """The state machine."""
        return self._applier.machine

    @property
    def state(self) -> ControlState:
        """The applied state."""
        return self.machine.state

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads with a valid lease."""
        return self.log.is_leader

    @property
    def term(self) -> int:
        """The consensus term of the log; no two leaders share one."""
        return self.log.status().term

    @property
    def leader_operator_address(self) -> str:
        """The leader's operator address; empty if unknown."""
        leader = self.state.vms.get(self.log.leader)
        return leader.operators if leader else ''

    def view(self) -> ControlView:
        """Return the view at the last applied command."""
        return self.machine.view()

    def now_ms(self) -> int:
        """Return the wall-clock time for commands, in milliseconds."""
        return int(time.time() * _MS_PER_S)

    def demand(self) -> tuple[Demand, ...]:
        """Return the demand of all entries, summed per target."""
        if self.vm is None:
            return self.local_demand
        return self.report_tracker.total_demand(self.vm.clock())

    def is_in_force(self, index: int) -> bool:
        """Return whether no VM can still serve a view older than `index`."""
        if self.vm is None:
            return index <= self.state.index
        if index > self.state.index:
            return False
        return self.report_tracker.acknowledgements.is_in_force(
            self.vm.clock(),
            min(index, self.state.view.index),
            self.state.vms,
        )

    async def propose(
        self,
        command: Command,
    ) -> Result[CommandResult, Failure]:
        """Commit a command and return its result."""
        if isinstance(command, RegisterVm):
            return await self._change_membership(command)
        return await self._propose(command)

    async def commit_change(
        self,
        command: OperatorChange | PutRoutes,
    ) -> Result[CommandResult, Failure]:
        """Commit a change and wait until a majority of the VMs has applied it.

        After a failure, the change may have been committed nevertheless.
        """
        began_at = asyncio.get_running_loop().time()
        proposed = await self._propose(command)
        if isinstance(proposed, Failed):
            return proposed
        result = proposed.unwrap()
        if result.status is not CommandStatus.done:
            return proposed
        index = min(result.index, self.state.view.index)
        if await self._wait_until_accepted(
            index
        ) and await self.voter_wait.wait(index, began_at):
            return proposed
        return Failed(_not_accepted_failure())

    async def put_routes(
        self,
        document: RoutingDocument,
    ) -> Result[CommandResult, Failure]:
        """Commit a routing document and wait until it is accepted.

        One that is not valid is refused, whatever its version, unless it is
        the stored one: an earlier build may have accepted that. A version that
        is not newer than the stored one has no effect and is not added to the
        log; the call returns once the stored version is accepted.
        """
        stored = self.state.view.routes
        if not _has_same_content(document, stored):
            error = find_document_error(document)
            if error:
                return Success(_create_refusal(self.state, error))
        if document.version > stored.version:
            command = PutRoutes(at_ms=self.now_ms(), document=document)
            return await self.commit_change(command)
        began_at = asyncio.get_running_loop().time()
        barrier = await self.read_barrier()
        if isinstance(barrier, Failed):
            return barrier
        index = self.state.view.index
        if not (
            await self._wait_until_accepted(index)
            and await self.voter_wait.wait(index, began_at)
        ):
            return Failed(_not_accepted_failure())
        return Success(
            CommandResult(
                index=index,
                status=CommandStatus.done,
                revision=self.state.catalogue.revision,
            ),
        )

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until the state contains every command committed before."""
        return await self.log.read_barrier()

    def record_report(self, report: VmReport) -> None:
        """Record the newest view that a VM has applied, and its demand."""
        if self.vm is not None and self.acceptance is not None:
            now = self.vm.clock()
            self.report_tracker.record_report(now, report, self.state.vms)
            self.acceptance.record_report()

    def publish_view(self) -> None:
        """Pass the applied view to the agent of this VM, which pushes it."""
        self._is_publish_scheduled = False
        if self.vm is None:
            return
        timings = self.vm.timings
        fanout = timings.push_fanout_for(len(self.state.vms))
        if self.log.leader == self.vm.record.name:
            fanout = timings.leader_push_fanout
        self.vm.publish_view(self.state.view, fanout)

    async def _propose(
        self,
        command: Command,
    ) -> Result[CommandResult, Failure]:
        proposed = await self.log.propose(self._applier.encode(command))
        if isinstance(proposed, Failed):
            return proposed
        result = proposed.unwrap()
        assert isinstance(result, CommandResult)
        return Success(result)

    async def _change_membership(
        self,
        command: RegisterVm,
    ) -> Result[CommandResult, Failure]:
        """Add or remove one VM once the previous such change is accepted.

        Majorities of two sets that differ by one VM share a VM. Therefore
        the set may not change again before a majority has applied the last
        change.
        """
        async with self._membership_lock:
            is_member = command.vm.name in self.state.vms
            if (
                is_member == command.gone
                and not await self._wait_until_accepted(
                    self.state.view.index,
                )
            ):
                return Failed(
                    Failure(
                        kind=FailureKind.no_quorum,
                        step='change the set of VMs',
                        peer=command.vm.name,
                    ),
                )
            return await self._propose(command)

    async def _wait_until_accepted(self, index: int) -> bool:
        """Wait until the view at `index` is accepted, see `ViewAcceptance`.

        Returns False if it is not within the timeout.
        """
        acceptance = self.acceptance
        if acceptance is None:
            return True
        return await acceptance.wait_until(
            lambda: acceptance.is_accepted(
                index,
                self.state.vms,
                self.term if self.is_leader else None,
            )
        )

    def _handle_applied(self) -> None:
        self.state_changed.set()
        if self.vm is None or self._is_publish_scheduled:
            return
        # Commands applied in one iteration of the event loop are published
        # together.
        self._is_publish_scheduled = True
        asyncio.get_running_loop().call_soon(self.publish_view)


def _create_refusal(state: ControlState, error: str) -> CommandResult:
    """Return the result for a routing document that is not valid."""
    return CommandResult(
        index=state.view.index,
        status=CommandStatus.bad_entry,
        revision=state.catalogue.revision,
        detail=error,
    )


def _has_same_content(
    document: RoutingDocument, other: RoutingDocument
) -> bool:
    """Tell whether two documents are equal.

    Builds may compress the source differently.
    """
    return msgspec.structs.replace(document, source=other.source) == other


def _not_accepted_failure() -> Failure:
    return Failure(
        kind=FailureKind.no_quorum,
        step='await acceptance',
        detail='committed, but not yet applied by a majority of the VMs; resend'
        ' the command to get its result',
    )
