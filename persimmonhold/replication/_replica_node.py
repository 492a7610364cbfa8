"""Runs the event loop of a replica: the replicated log of a control VM.

Callers queue proposals and reads. All that are queued when an iteration
starts share one append, one message round and one sync (group commit).
"""

import asyncio
import random
from collections import deque
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
from persimmonhold.replication._describe import describe_replica
from persimmonhold.replication._log_applier import LogApplier
from persimmonhold.replication._replica_host import ReplicaHost
from persimmonhold.replication._replica_settings import ReplicaSettings
from persimmonhold.replication._replica_status import ReplicaStatus
from persimmonhold.replication._replicated_log import ReplicatedLog
from persimmonhold.replication._waiters import ResultFuture, set_failure
from persimmonhold.storage import DiskDirectory, FileSystem, LogStore
from persimmonhold.tasks import wait_with_timeout
from persimmonhold.transport import Channel, Transport

_PROPOSE: Final = 'propose'
_READ: Final = 'read barrier'
_TRANSFER: Final = 'transfer leadership'


@final
class ReplicaNode(ReplicatedLog):
    """Owns the data folder and the event loop of one replica.

    A context manager: entering it starts the replica, leaving it stops it.
    `directory` must hold no other files. `transport` addresses the other VMs
    by name. `applier` must be newly created, because it is driven from the
    start of the log. `rng` generates incarnations, so its seed must differ
    between starts (`random.Random()` outside tests). `clock` is monotonic
    and in seconds. `files` replaces the directory in tests.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_exit_stack',
        '_files',
        '_host',
        '_inbox',
        '_proposals',
        '_reads',
        '_settings',
        '_snapshot_task',
        '_task',
        '_wake',
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
            LogStore(self._files),
            transport,
            applier,
            rng,
        )
        self._inbox: deque[tuple[str, bytes]] = deque()
        self._proposals: deque[tuple[bytes, ResultFuture]] = deque()
        self._reads: list[ResultFuture] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._snapshot_task: asyncio.Task[None] | None = None
        self.failure: Failure | None = None
        transport.set_receiver(Channel.consensus, self._receive)

    async def __aenter__(self) -> Self:
        """Recover and start; raises `OSError` if the folder is unusable."""
        if isinstance(self._files, DiskDirectory):
            self._exit_stack.enter_context(self._files)
        opened = self._host.recover(self._clock())
        if isinstance(opened, Failed):
            self._exit_stack.close()
            failure: Failure = opened.failure()
            place = f'{self._directory}/{failure.peer}'
            raise StartError(msgspec.structs.replace(failure, peer=place))
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop, fail all pending operations and close the files."""
        for task in (self._task, self._snapshot_task):
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
        """The addresses of the known VMs, by VM name."""
        known = dict(self._host.replica.core.vm_addresses)
        for member in self._host.replica.configuration.members:
            known[member.vm] = member.address
        return known

    def status(self) -> ReplicaStatus:
        """Return the status of this replica and the group as it knows it."""
        described = describe_replica(
            self._host.replica,
            self._host.applied_index,
            self._clock(),
        )
        if self.failure is None:
            return described
        return msgspec.structs.replace(
            described,
            failure=self.failure.describe(),
        )

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Commit and apply a payload; return the result of `apply`."""
        if self._host.replica.leadership is None or self.failure:
            return _failure(FailureKind.not_leader, _PROPOSE)
        if len(self._proposals) >= self._settings.max_queued_proposals:
            return _failure(FailureKind.overloaded, _PROPOSE)
        future: ResultFuture = asyncio.get_running_loop().create_future()
        self._proposals.append((payload, future))
        self._wake.set()
        return await self._wait_for_result(future, _PROPOSE)

    async def read_barrier(self) -> Result[int, Failure]:
        """Wait until a read of the applied state is linearizable."""
        if self._host.replica.leadership is None or self.failure:
            return _failure(FailureKind.not_leader, _READ)
        if len(self._reads) >= self._settings.max_queued_proposals:
            return _failure(FailureKind.overloaded, _READ)
        future: ResultFuture = asyncio.get_running_loop().create_future()
        self._reads.append(future)
        self._wake.set()
        confirmed = await self._wait_for_result(future, _READ)
        return confirmed.map(lambda _: self._host.applied_index)

    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Transfer leadership to `vm`, or to the best follower if empty.

        Returns the name of the new leader.
        """
        successor = vm_of(
            self._host.replica.transfer_leadership(self._clock(), vm)
        )
        if not successor:
            return _failure(FailureKind.not_leader, _TRANSFER)
        future: ResultFuture = asyncio.get_running_loop().create_future()
        self._host.waiters.add_transfer(future)
        self._wake.set()
        ended = await self._wait_for_result(future, _TRANSFER)
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

    def _receive(self, peer: str, payload: bytes) -> None:
        if len(self._inbox) < self._settings.max_queued_messages:
            self._inbox.append((peer, payload))
            self._wake.set()

    async def _run(self) -> None:
        try:
            while self.failure is None:
                self._run_iteration()
                await self._wait_for_work()
        except OSError as error:
            self._stop_on_disk_failure(error)

    async def _wait_for_work(self) -> None:
        """Wait until input arrives or the replica has a timer due."""
        delay_s = self._host.replica.next_wakeup - self._clock()
        # Other tasks run first, so that what they queue shares one sync.
        await asyncio.sleep(0)
        await wait_with_timeout(self._wake, max(float(0), delay_s))
        self._wake.clear()

    def _run_iteration(self) -> None:
        host = self._host
        now = self._clock()
        while self._inbox:
            peer, payload = self._inbox.popleft()
            host.receive(peer, payload, now)
        self._submit_proposals(now)
        self._submit_reads(now)
        if host.replica.next_wakeup <= now:
            host.replica.tick(now)
        host.perform_actions(now)
        self._start_snapshot_if_due()

    def _submit_proposals(self, now: float) -> None:
        if not self._proposals:
            return
        queued = tuple(self._proposals)
        self._proposals.clear()
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
                set_failure(future, FailureKind.not_leader, _PROPOSE)

    def _submit_reads(self, now: float) -> None:
        if not self._reads:
            return
        waiters = self._host.waiters
        tokens = tuple(waiters.add_read(future) for future in self._reads)
        self._reads.clear()
        if not self._host.replica.read(tokens, now):
            waiters.fail_reads(tokens)

    def _start_snapshot_if_due(self) -> None:
        """Start a snapshot if enough entries were applied since the last."""
        applied = self._host.applied_index
        entries_since_snapshot = (
            applied - self._host.replica.core.log.snapshot.index
        )
        is_idle = self._snapshot_task is None or self._snapshot_task.done()
        if (
            is_idle
            and entries_since_snapshot >= self._settings.snapshot_entries
        ):
            self._snapshot_task = asyncio.create_task(self._run_snapshot())

    async def _run_snapshot(self) -> None:
        try:
            await self._write_snapshot()
        except OSError as error:
            self._stop_on_disk_failure(error)

    async def _write_snapshot(self) -> None:
        """Write a snapshot in parts, so that the loop can run in between."""
        replica = self._host.replica
        snapshot = self._host.take_snapshot()
        encoded = memoryview(self._host.encode_snapshot(snapshot))
        size = self._settings.snapshot_part_bytes
        for start in range(0, len(encoded), size):
            self._host.write_snapshot_part(bytes(encoded[start : start + size]))
            await asyncio.sleep(0)
            # In the meantime a newer snapshot from the leader may have been
            # stored, or the replica may have become a new incarnation.
            installed = replica.core.log.snapshot.index
            if self._host.replica is not replica or self.failure:
                return
            if installed >= snapshot.index:
                return
        self._host.activate_snapshot(snapshot)

    def _stop_on_disk_failure(self, error: OSError) -> None:
        """Stop permanently, because the content of the disk is unknown."""
        self.failure = Failure(
            kind=FailureKind.storage_unwritable,
            step='replica turn',
            peer=self._settings.name,
            detail=str(error),
        )
        log_event('replica stopped', LogLevel.error, error=str(error))
        self._fail_pending(FailureKind.no_quorum)
        self._wake.set()

    def _fail_pending(self, kind: FailureKind) -> None:
        self._host.waiters.fail_all()
        for _, future in self._proposals:
            set_failure(future, kind, _PROPOSE)
        for future in self._reads:
            set_failure(future, kind, _READ)
        self._proposals.clear()
        self._reads.clear()


def _failure(kind: FailureKind, step: str) -> Failed[Failure]:
    return Failed(Failure(kind=kind, step=step))
