"""The messages between replicas.

Each is sent in an `Envelope` that names sender and receiver with their
incarnations, so that a message for an earlier incarnation is dropped.
"""

from typing import TypeAlias, final

import msgspec

from persimmonhold.consensus._boot import Boot
from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._log_entry import LogEntry
from persimmonhold.consensus._member import Member, ReplicaId


@final
class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag='v'):
    """Requests a vote, or with `is_pre` a pre-vote.

    With `is_transfer` the leader itself asked for the election.
    """

    term: int
    last_index: int
    last_term: int
    is_pre: bool = False
    is_transfer: bool = False


@final
class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Answers `RequestVote`.

    `term` is the requested term if granted, else the term of the voter.
    """

    term: int
    is_granted: bool
    is_pre: bool = False


@final
class Append(msgspec.Struct, frozen=True, array_like=True, tag='a'):
    """Sends log entries to a member, or only a heartbeat if there are none.

    `previous_index` and `previous_term` are those of the entry before the
    first one sent. The reply echoes `sequence`, the number of the heartbeat
    round, and `sent_at`, the leader's time.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sequence: int
    sent_at: float
    entries: tuple[LogEntry, ...] = ()


@final
class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag='t'):
    """Answers `Append` once the entries are synced.

    `index` is the last matching index on success, else the index after
    which the leader should try next. `boots` are the latest starts of
    replicas that the sender knows.
    """

    term: int
    is_success: bool
    index: int
    sequence: int
    sent_at: float
    boots: dict[ReplicaId, Boot]


@final
class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag='c'):
    """Sends a member one bounded part of the state in a snapshot.

    `index`, `snapshot_term` and `configuration` are those of the snapshot.
    `offset` is the position of `chunk` in its state and `total` the size of
    that state, both in bytes.
    """

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
    """Acknowledges the first `offset` bytes of the snapshot at `index`."""

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
    """Announces a start of the sender, which votes only once it is verified.

    `last_index` is the last index of the sender's log.
    """

    boot: Boot
    term: int
    last_index: int


@final
class BootReport(msgspec.Struct, frozen=True, array_like=True, tag='g'):
    """Answers `BootCheck` with the sender's log position and configuration.

    `boot` is the start that is answered, or number 0 if the receiver is no
    longer a member. With `is_void` the receiver must give up its identity.
    `may_lead` is false only if the sender is known not to lead; it defaults
    to true.
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
    """Announces a replica with an empty data folder that asks to join.

    `address` is that of the sender.
    """

    address: str


@final
class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag='m'):
    """Answers `Hello` with the members that the sender knows.

    `is_empty` tells whether the sender holds no log entry.
    """

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
    """A message from one replica to another.

    An empty `receiver` stands for any incarnation of the VM.
    """

    sender: ReplicaId
    receiver: ReplicaId
    message: Message
