"""The messages of membership and dissemination."""

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
    """Asks for an answer; `sent_at` is in the clock of the sender.

    `leads` is set by a new leader of control, so that VMs report to it.
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
    """Proves that the sender lived, and what it has proof of.

    `echoed` is the time in the heartbeat; `joined` tells that the sender
    has had proof of control since it started. `control_age` and `ages` are
    in units of `AGE_UNIT_S`, one byte for each VM in the order of names;
    `members` is a hash of those names.
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
    """Asks for what follows `index`, or for a part of a snapshot."""

    index: int
    snapshot: int = 0
    part: int = 0


@final
class ViewChanges(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='view_changes',
    array_like=True,
):
    """Successive changes of the view."""

    changes: tuple[ViewChange, ...]


@final
class SnapshotPart(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='snapshot_part',
    array_like=True,
):
    """One part of the encoded view at the index `snapshot`."""

    snapshot: int
    part: int
    parts: int
    payload: bytes


AgentMessage: TypeAlias = (
    Heartbeat | HeartbeatAnswer | Pull | ViewChanges | SnapshotPart
)


@final
class Send(msgspec.Struct, frozen=True):
    """The action to send a message to a VM."""

    peer: str
    message: AgentMessage
