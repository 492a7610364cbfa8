"""The actions that a replica returns for its host process to perform."""

from typing import TypeAlias, final

import msgspec

from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._messages import Envelope
from persimmonhold.consensus._snapshot import Snapshot


@final
class Send(msgspec.Struct, frozen=True):
    """Send an envelope to a VM; delivery is not guaranteed."""

    vm: str
    envelope: Envelope


@final
class Persist(msgspec.Struct, frozen=True, kw_only=True):
    """Store the given data, sync it, then call `Replica.confirm_persisted`.

    The hard state is stored first, then the snapshot, then the entries.
    `number` counts the `Persist` actions since the start and is passed to the
    confirmation. An entry with an index that is already stored overwrites
    that entry and truncates everything after it. A snapshot replaces the log
    up to its index; with `is_reset` it replaces the rest of the log as well.
    """

    number: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    is_reset: bool = False
    entries: tuple[LogEntry, ...] = ()


@final
class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@final
class Restore(msgspec.Struct, frozen=True):
    """Replace the applied state by that of a snapshot."""

    snapshot: Snapshot


@final
class ReadReady(msgspec.Struct, frozen=True):
    """Reads can be answered once the entry at `index` is applied.

    They are then linearizable. `tokens` are those of `Replica.request_reads`.
    """

    tokens: tuple[int, ...]
    index: int


@final
class ReadsFailed(msgspec.Struct, frozen=True):
    """Reads that fail, since leadership ended before they were confirmed.

    `tokens` are those of `Replica.request_reads`.
    """

    tokens: tuple[int, ...]


@final
class ResetReplica(msgspec.Struct, frozen=True):
    """Erase this replica's data folder and restart as a new incarnation."""

    reason: str


Action: TypeAlias = (
    Send | Persist | Apply | Restore | ReadReady | ReadsFailed | ResetReplica
)
