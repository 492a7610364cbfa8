"""The control log of a system with a single replica.

Invariant: a payload is applied and answered only after it is synced to disk.
"""

from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Final, Self, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind
from persimmonhold.replication import (
    LogApplier,
    ReplicaStatus,
    ReplicatedLog,
)
from persimmonhold.storage import RecordFile

_LOG_FILE: Final = 'control.log'


@final
class SingleReplicaLog(ReplicatedLog):
    """A replicated log with one replica, stored in one record file."""

    def __init__(self, directory: Path, applier: LogApplier) -> None:
        """Create a log whose file is in `directory`."""
        self._file = RecordFile(directory / _LOG_FILE)
        self._applier = applier
        self._applied_index = 0
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        """Open the file; raises `OSError` if it cannot be written."""
        self._file.path.parent.mkdir(parents=True, exist_ok=True)
        self._stack.enter_context(self._file)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the file."""
        self._stack.close()

    def recover(self) -> Result[int, Failure]:
        """Apply the payloads of the file; return the index of the last one."""
        records = self._file.read_records()
        if isinstance(records, Failed):
            return records
        for record in records.unwrap():
            self._apply(record)
        return Success(self._applied_index)

    @property
    def is_leader(self) -> bool:
        """Always true: a single replica is the leader."""
        return True

    @property
    def leader(self) -> str:
        """Empty: a single replica has no name."""
        return ''

    @property
    def applied_index(self) -> int:
        """The index of the last applied payload."""
        return self._applied_index

    async def propose(self, payload: bytes) -> Result[object, Failure]:
        """Append a payload to the file, apply it and return the result."""
        self._file.append_records((payload,))
        return Success(self._apply(payload))

    async def read_barrier(self) -> Result[int, Failure]:
        """Return at once, since every synced payload is applied."""
        return Success(self._applied_index)

    async def transfer_leadership(self, vm: str = '') -> Result[str, Failure]:
        """Fail: there is no other replica."""
        return Failed(
            Failure(kind=FailureKind.refused, step='transfer leadership'),
        )

    def status(self) -> ReplicaStatus:
        """Return the status of the replica."""
        return ReplicaStatus(
            vm='',
            incarnation='',
            role='leader',
            term=1,
            leader='',
            is_verified=True,
            lease_s=0,
            last_index=self._applied_index,
            commit_index=self._applied_index,
            applied_index=self._applied_index,
            snapshot_index=0,
            members=(),
        )

    def _apply(self, payload: bytes) -> object:
        self._applied_index += 1
        return self._applier.apply(self._applied_index, payload)
