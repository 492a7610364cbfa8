"""What a replica asks of the process around it."""

from typing import TypeAlias, final

import msgspec

from persimmonhold.consensus._hard_state import HardState
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._messages import Envelope
from persimmonhold.consensus._snapshot import Snapshot


@final
class Send(msgspec.Struct, frozen=True):
    """Send an envelope to a VM; it may be lost."""

    vm: str
    envelope: Envelope


@final
class Persist(msgspec.Struct, frozen=True, kw_only=True):
    """Store in this order and sync, then call `Replica.confirm_persisted`.

    An entry whose index is held already replaces it and all after it. A
    snapshot replaces the log up to its index, and the rest of the log too
    where `is_reset`.
    """

    number: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    is_reset: bool = False
    entries: tuple[LogEntry, ...] = ()


@final
class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries in order."""

    entries: tuple[LogEntry, ...]


@final
class Restore(msgspec.Struct, frozen=True):
    """Replace the applied state."""

    snapshot: Snapshot


@final
class ReadReady(msgspec.Struct, frozen=True):
    """Reads at or after an applied index are linearizable."""

    tokens: tuple[int, ...]
    index: int


@final
class ReadsFailed(msgspec.Struct, frozen=True):
    """Leadership ended before these reads were confirmed."""

    tokens: tuple[int, ...]


@final
class ResetReplica(msgspec.Struct, frozen=True):
    """Empty the data folder and start again as a new incarnation."""

    reason: str


Action: TypeAlias = (
    Send | Persist | Apply | Restore | ReadReady | ReadsFailed | ResetReplica
)
