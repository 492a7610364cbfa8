"""The messages of membership and view dissemination."""

from typing import TypeAlias, final

import msgspec

from persimmonhold.messages import ViewChange


@final
class Heartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='heartbeat',
    array_like=True,
):
    """Requests an answer; `sent_at` is a time of the sender's clock.

    `index` is the index of the sender's view. A new control leader sets
    `is_new_leader`, so that VMs report to it.
    """

    sent_at: float
    index: int
    is_new_leader: bool = False


@final
class HeartbeatAnswer(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='heartbeat_answer',
    array_like=True,
):
    """Proves that the sender was live, and passes on its own proofs.

    `echoed_sent_at` is copied from the heartbeat; `index` and `digest` are
    those of the sender's view. `has_joined` means that the sender has had
    proof of control since it started; `leader` is the control leader that it
    knows. `control_proof_age` and `proof_ages` are in units of `AGE_UNIT_S`;
    `proof_ages` has one byte for each registered VM, in the order of names,
    and `members_hash` is a hash of those names.
    """

    echoed_sent_at: float
    index: int
    digest: int
    has_joined: bool
    leader: str
    control_proof_age: int
    members_hash: int
    proof_ages: bytes


@final
class Pull(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='pull',
    array_like=True,
):
    """Requests the changes after view `index`, or a part of a snapshot.

    A `snapshot_index` other than 0 requests that part of the snapshot at
    this index; otherwise the receiver chooses what to send. Earlier versions
    do not set `accepts_compressed`.
    """

    index: int
    snapshot_index: int = 0
    part_index: int = 0
    accepts_compressed: bool = False


@final
class ViewChanges(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='view_changes',
    array_like=True,
):
    """Consecutive changes of the view, pushed or in answer to a pull.

    A routing document that a later change of the message replaces is left out.
    """

    changes: tuple[ViewChange, ...]


@final
class CompressedChanges(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='compressed_changes',
    array_like=True,
):
    """Encoded `ViewChanges` in answer to a pull, compressed with zlib."""

    payload: bytes


@final
class ViewAnnouncement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='view_announcement',
    array_like=True,
):
    """States that the sender's view is at `index`, so that others pull it."""

    index: int


@final
class SnapshotPart(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='snapshot_part',
    array_like=True,
):
    """Part `part_index`, from 0, of the encoded view at `snapshot_index`.

    The whole is compressed with zlib if `is_compressed`.
    """

    snapshot_index: int
    part_index: int
    part_count: int
    payload: bytes
    is_compressed: bool = False


AgentMessage: TypeAlias = (
    Heartbeat
    | HeartbeatAnswer
    | Pull
    | ViewChanges
    | CompressedChanges
    | ViewAnnouncement
    | SnapshotPart
)


@final
class Send(msgspec.Struct, frozen=True):
    """Action: send a message to the VM `peer`."""

    peer: str
    message: AgentMessage
