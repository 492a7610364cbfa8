"""Runs the event loop of a replica: the replicated log of a control VM.

Callers of `propose` and `read_barrier` add their requests to queues. All
requests queued when an iteration of the loop starts share one append, one
message round and one sync (group commit).
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result

from persimmonhold.consensus import vm_of
from persimmonhold.failures import Failure, FailureKind, StartError
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.replication._bounded_queue import BoundedQueue
from persimmonhold.replication._log_applier import LogApplier
from persimmonhold.replication._replica_host import ReplicaHost
from persimmonhold.replication._replica_settings import ReplicaSettings
from persimmonhold.replication._replica_status import ReplicaStatus
from persimmonhold.replication._replicated_log import ReplicatedLog
from persimmonhold.replication._snapshot_writer import SnapshotWriter
from persimmonhold.replication._waiters import ResultFuture, set_failure
from persimmonhold.storage import DiskDirectory, FileSystem, LogStore
from persimmonhold.tasks import wait_with_timeout
from persimmonhold.transport import Channel, Transport

_PROPOSE_STEP: Final = 'propose'
_READ_STEP: Final = 'read barrier'
_TRANSFER_STEP: Final = 'transfer leadership'


@final
class ReplicaNode(ReplicatedLog):
    """Owns the data folder and the event loop of one replica.

    A context manager: entering it starts the replica, leaving it stops it.
    `directory` must hold no other files. `transport` addresses the other VMs
    by name. `applier` must be newly created, because it is driven from the
    start of the log. `rng` generates the ids of incarnations, so its seed
    must differ between starts (`random.Random()` outside tests). `clock` is
    monotonic and in seconds. `files` replaces the directory in tests.
    `failure` is the disk failure that has stopped the replica, if any, and
    `address_book` tells where the other members are.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_exit_stack',
        '_files',
        '_host',
        '_inbox',
        '_proposals',
        '_queued_reads',
        '_settings',
        '_run_task',
        '_snapshots',
        '_work_arrived',
        'address_book',
        'failure',
    )

    def __init__(
        self,
        settings: ReplicaSettings,
        directory: Path,
        transport: Transport,
        applier: LogApplier,
        rng: random.Random,
        clock: Callable[[], float],
        files: FileSystem | None = None,
    ) -> None:
        """Create a replica; it starts when the context is entered."""
        self._settings = settings
        self._clock = clock
        self._exit_stack = ExitStack()
        self._directory = directory
        self._files = files or DiskDirectory(directory)
        self._host = ReplicaHost(
            settings,
            LogStore(self._files, settings.bounds.segment_bytes),
            transport,
            applier,
            rng,
        )
        self._inbox = BoundedQueue[tuple[str, bytes]](
            settings.max_queued_messages, settings.bounds.pending_bytes
        )
        self._proposals = BoundedQueue[tuple[bytes, ResultFuture]](
            settings.max_queued_proposals, settings.bounds.pending_bytes
        )
        self._queued_reads: list[ResultFuture] = []
        self._work_arrived = asyncio.Event()
        self._run_task: asyncio.Task[None] | None = None
        self._snapshots = SnapshotWriter(
            self._host,
            settings.snapshot_part_bytes,
            self._stop_on_disk_failure,
        )
        self.failure: Failure | None = None
        self.address_book = self._host.address_book
        transport.set_receiver(Channel.consensus, self._enqueue_message)

    async def __aenter__(self) -> Self:
        """Recover from the data folder and start the event loop.

        Raises `OSError` if the folder is unusable and `StartError` if its
        data is damaged.
        """
        if isinstance(self._files, DiskDirectory):
            self._exit_stack.enter_context(self._files)
        opened = self._host.recover(self._clock())
        if isinstance(opened, Failed):
            self._exit_stack.close()
            failure: Failure = opened.failure()
            place = f'{self._directory}/{failure.peer}'
            raise StartError(msgspec.structs.replace(failure, peer=place))
        self._run_task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the event loop, end pending operations and close the files."""
        for task in (self._run_task, self._snapshots.task):
            if task is not None:
                task.cancel()
                with suppress(asyncio.CancelledError):
                    await task
        self._fail_pending(FailureKind.no_quorum)
        self._exit_stack.close()

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader and its lease is valid."""
        now = self._clock()
        lease_until = self._host.replica.lease_until(now)
        return self.failure is None and lease_until > now

    @property
    def leader(self) -> str:
        """The name of the leading VM, or empty if it is unknown."""
        return vm_of(self._host.replica.leader)

    @property
    def applied_index(self) -> int:
        """The index of the last applied entry."""
        return self._host.applied_index

    @property
    def sync_count(self) -> int:
        """The number of syncs of log, state and snapshots since the start."""
        return self._host.writer.sync_count

    @property
    def peer_addresses(self) -> dict[str, str]:
        """The addresses of group members and other known VMs, by VM name."""
        known = dict(self._host.replica.core.vm_addresses)
        for member in self._host.replica.configuration.members:
            known[member.vm] = member.address
        return known

    def status(self) -> ReplicaStatus:
        """Return the status of this replica and what it knows of the group."""
        return msgspec.structs.replace(
            self._host.describe(self._clock()),
            failure=self.failure.describe() if self.failure else '',
        )

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit and apply a payload; return the result of applying it."""
        if self._host.replica.leadership is None or self.failure:
            return _failure(FailureKind.not_leader, _PROPOSE_STEP)
        future: ResultFuture = asyncio.get_running_loop().create_future()
        if not self._proposals.add(
            (payload, future), len(payload), self._host.uncommitted_bytes
        ):
            return _failure(FailureKind.overloaded, _PROPOSE_STEP)
        self._work_arrived.set()
        return await self._wait_for_result(future, _PROPOSE_STEP)

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until a read of the applied state is linearizable.

        Returns the index of the last applied entry.
        """
        if self._host.replica.leadership is None or self.failure:
            return _failure(FailureKind.not_leader, _READ_STEP)
        if len(self._queued_reads) >= self._settings.max_queued_proposals:
            return _failure(FailureKind.overloaded, _READ_STEP)
        future: ResultFuture = asyncio.get_running_loop().create_future()
        self._queued_reads.append(future)
        self._work_arrived.set()
        confirmed = await self._wait_for_result(future, _READ_STEP)
        return confirmed.map(lambda _: self._host.applied_index)

    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Transfer leadership to `vm`, or to the best follower if empty.

        Returns the name of the new leader.
        """
        successor = vm_of(
            self._host.replica.transfer_leadership(self._clock(), vm)
        )
        if not successor:
            return _failure(FailureKind.not_leader, _TRANSFER_STEP)
        future: ResultFuture = asyncio.get_running_loop().create_future()
        self._host.waiters.add_transfer(future)
        self._work_arrived.set()
        ended = await self._wait_for_result(future, _TRANSFER_STEP)
        return ended.map(lambda _: successor)

    async def _wait_for_result(
        self,
        future: ResultFuture,
        step: str,
    ) -> Result[object, Failure]:
        try:
            async with asyncio.timeout(self._settings.proposal_timeout_s):
                return await future
        except TimeoutError:
            return _failure(FailureKind.timed_out, step)

    def _enqueue_message(self, peer: str, payload: bytes) -> None:
        """Queue a message of the VM `peer`, or drop it if the queue is full."""
        if self._inbox.add((peer, payload), len(payload)):
            self._work_arrived.set()

    async def _run(self) -> None:
        try:
            while self.failure is None:
                self._run_iteration()
                await self._wait_for_work()
        except OSError as error:
            self._stop_on_disk_failure(error)

    async def _wait_for_work(self) -> None:
        """Wait until input arrives or a timer of the replica is due."""
        delay_s = self._host.replica.next_wakeup - self._clock()
        # Let other tasks run first, so that all proposals that they queue are
        # written to disk with a single sync.
        await asyncio.sleep(0)
        await wait_with_timeout(self._work_arrived, max(float(0), delay_s))
        self._work_arrived.clear()

    def _run_iteration(self) -> None:
        host = self._host
        now = self._clock()
        for peer, payload in self._inbox.take_all():
            host.receive_message(peer, payload, now)
        self._submit_proposals(now)
        self._submit_reads(now)
        if host.replica.next_wakeup <= now:
            host.replica.tick(now)
        self.address_book.update(self.peer_addresses)
        host.perform_actions(now)
        self._snapshots.start_if_due()

    def _submit_proposals(self, now: float) -> None:
        queued = self._proposals.take_all()
        if not queued:
            return
        replica = self._host.replica
        payloads = tuple(payload for payload, _ in queued)
        first = replica.propose(payloads, now)
        for offset, (_, future) in enumerate(queued):
            if first:
                index = first + offset
                self._host.waiters.add_proposal(
                    index, replica.core.term, future
                )
            else:
                set_failure(future, FailureKind.not_leader, _PROPOSE_STEP)

    def _submit_reads(self, now: float) -> None:
        if not self._queued_reads:
            return
        waiters = self._host.waiters
        tokens = tuple(
            waiters.add_read(future) for future in self._queued_reads
        )
        self._queued_reads.clear()
        if not self._host.replica.request_reads(tokens, now):
            waiters.fail_reads(tokens)

    def _stop_on_disk_failure(self, error: OSError) -> None:
        """Stop the replica until a restart, as the state on disk is unknown."""
        self.failure = Failure(
            kind=FailureKind.storage_unwritable,
            step='replica turn',
            peer=self._settings.name,
            detail=str(error),
        )
        self._snapshots.is_stopped = True
        log_event('replica stopped', LogLevel.error, error=str(error))
        self._fail_pending(FailureKind.no_quorum)
        self._work_arrived.set()

    def _fail_pending(self, kind: FailureKind) -> None:
        """End all submitted operations; fail the queued ones with `kind`."""
        self._host.waiters.end_all()
        for _, future in self._proposals.take_all():
            set_failure(future, kind, _PROPOSE_STEP)
        for future in self._queued_reads:
            set_failure(future, kind, _READ_STEP)
        self._queued_reads.clear()


def _failure(kind: FailureKind, step: str) -> Failed[Failure]:
    return Failed(Failure(kind=kind, step=step))
