"""The messages between replicas.

Each travels in an `Envelope` that names both replicas with incarnation, so
a message for an earlier incarnation is dropped.
"""

from typing import TypeAlias, final

import msgspec

from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._member import Member, ReplicaId


@final
class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag='v'):
    """Asks for a vote, or whether one would be given (`is_pre`)."""

    term: int
    last_index: int
    last_term: int
    is_pre: bool = False
    is_transfer: bool = False


@final
class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Answers `RequestVote`; `term` is the asked one where granted."""

    term: int
    is_granted: bool
    is_pre: bool = False


@final
class Append(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """Heartbeat and entries; `sequence` and `sent_at` are echoed."""

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sequence: int
    sent_at: float
    entries: tuple[LogEntry, ...] = ()


@final
class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """Answers `Append` after the entries are synced.

    `index` is the last matching index, or where not successful the index
    after which the leader should try.
    """

    term: int
    is_success: bool
    index: int
    sequence: int
    sent_at: float
    boots: dict[ReplicaId, Boot]


@final
class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """A bounded part of the leader's snapshot."""

    term: int
    index: int
    snapshot_term: int
    configuration: Configuration
    offset: int
    total: int
    sequence: int
    sent_at: float
    chunk: bytes


@final
class ChunkReply(msgspec.Struct, frozen=True, array_like=True, tag='n'):
    """Tells how many bytes of the snapshot at `index` have arrived."""

    term: int
    index: int
    offset: int
    sequence: int
    sent_at: float
    boots: dict[ReplicaId, Boot]


@final
class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag='b'):
    """Asks a caught-up follower to start an election at once."""

    term: int


@final
class BootCheck(msgspec.Struct, frozen=True, array_like=True, tag='f'):
    """Announces a start; a replica votes only after answers to it."""

    boot: Boot
    term: int
    last_index: int


@final
class BootReport(msgspec.Struct, frozen=True, array_like=True, tag='g'):
    """What a member knows; `is_void` ends the identity of the asker.

    `may_lead` tells that the member leads, or does not say.
    """

    boot: Boot
    term: int
    last_index: int
    last_term: int
    configuration: Configuration
    configuration_index: int
    is_void: bool
    may_lead: bool = True


@final
class Hello(msgspec.Struct, frozen=True, array_like=True, tag='h'):
    """Announces a replica with an empty folder, ready to be a member."""

    address: str


@final
class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag='m'):
    """Answers `Hello`; `is_empty` where no entry is held here."""

    term: int
    is_empty: bool
    members: tuple[Member, ...]


Message: TypeAlias = (
    RequestVote
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | ChunkReply
    | TimeoutNow
    | BootCheck
    | BootReport
    | Hello
    | HelloReply
)


@final
class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message from replica to replica.

    An empty `receiver` means whichever incarnation the VM has now.
    """

    sender: ReplicaId
    receiver: ReplicaId
    message: Message
