"""Writes snapshots of a replica in parts, beside its event loop."""

import asyncio
from collections.abc import Callable
from typing import final

from persimmonhold.consensus import Replica, Snapshot
from persimmonhold.replication._replica_host import ReplicaHost
from persimmonhold.replication._stored_snapshot import compress_state


@final
class SnapshotWriter:
    """Takes a snapshot when one is due; only one is written at a time.

    `task` writes the current or the last one. Once `is_stopped` is set, no
    further part is written.
    """

    __slots__ = (
        '_handle_disk_failure',
        '_host',
        '_part_bytes',
        'is_stopped',
        'task',
    )

    def __init__(
        self,
        host: ReplicaHost,
        part_bytes: int,
        handle_disk_failure: Callable[[OSError], None],
    ) -> None:
        """Create a writer; `handle_disk_failure` is told of a failed write."""
        self._host = host
        self._part_bytes = part_bytes
        self._handle_disk_failure = handle_disk_failure
        self.is_stopped = False
        self.task: asyncio.Task[None] | None = None

    def start_if_due(self) -> None:
        """Start a snapshot if enough was applied since the last."""
        is_idle = self.task is None or self.task.done()
        if is_idle and self._host.is_snapshot_due():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            await self._write_snapshot()
        except OSError as error:
            self._handle_disk_failure(error)

    async def _write_snapshot(self) -> None:
        """Write a snapshot in parts, between which the event loop can run."""
        snapshot = self._host.take_snapshot()
        replica = self._host.replica
        compressed: list[bytes] = []
        for part in compress_state(snapshot.state, self._part_bytes):
            compressed.append(part)
            if not await self._may_continue(snapshot, replica):
                return
        content = self._host.begin_snapshot(snapshot, b''.join(compressed))
        for start in range(0, len(content), self._part_bytes):
            self._host.write_snapshot_part(
                content[start : start + self._part_bytes]
            )
            if not await self._may_continue(snapshot, replica):
                return
        self._host.activate_snapshot(snapshot)

    async def _may_continue(self, snapshot: Snapshot, replica: Replica) -> bool:
        """Let the event loop run; return whether the snapshot is still wanted.

        In the meantime a newer snapshot from the leader may have been stored,
        or the replica may have become a new incarnation. If the log grows too
        fast, the snapshot is finished without a pause.
        """
        if not self._host.is_outgrown(snapshot):
            await asyncio.sleep(0)
        if self._host.replica is not replica or self.is_stopped:
            return False
        return replica.core.log.snapshot.index < snapshot.index
