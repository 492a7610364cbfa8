"""Membership and view dissemination of one VM; performs no input or output.

Each interval the VM sends a heartbeat to control VMs and to a few random
others. Each answer proves that its sender was live and passes on the proofs
that the sender has. From a VM that turns out to have a newer view, the VM
pulls the changes that it lacks. New changes are pushed to a few random VMs,
so a change reaches all VMs in about as many steps as the logarithm of their
number; heartbeats detect and repair lost pushes. A routing document is too
large to be received from several VMs: it is announced, and each VM pulls it
from one of those that announced it.

Invariant: proofs of a VM with a newer view are accepted only after that view.
"""

import random
from typing import Final, final

import msgspec

from persimmonhold.control.machine import ViewState
from persimmonhold.membership._compression import decompress
from persimmonhold.membership._membership_timings import MembershipTimings
from persimmonhold.membership._messages import (
    AgentMessage,
    CompressedChanges,
    Heartbeat,
    HeartbeatAnswer,
    Pull,
    Send,
    SnapshotPart,
    ViewAnnouncement,
    ViewChanges,
)
from persimmonhold.membership._proof_table import (
    AGE_UNIT_S,
    UNKNOWN_AGE,
    ProofTable,
    hash_names,
)
from persimmonhold.membership._view_server import ViewServer
from persimmonhold.membership._view_updater import ViewUpdater
from persimmonhold.messages import ViewChange

# Number of changes kept for VMs that lag behind. A VM that lags further
# pulls a whole snapshot.
_CHANGE_LOG_LENGTH: Final = 4096
# Times that a VM asks the leader before its proof of control is twice as old as
# it may be without asking; single messages may be lost.
_LEADER_ASKS: Final = 4


@final
class VmAgent:
    """The state machine of membership and dissemination at one VM.

    `announced` maps VMs that have a newer view to its index.
    `view` is the newest control view that this VM has, `registered_names` are
    the VMs registered in it, in order. `leader` names the last known control
    leader. `diverged_view_count` counts answers whose view has the index of
    this VM's but another digest, which is a fault.
    """

    __slots__ = (
        '_configured_control_vms',
        '_control_vms',
        '_leader_asked_at',
        '_next_heartbeat_at',
        '_rng',
        '_view_server',
        'announced',
        'diverged_view_count',
        'leader',
        'name',
        'proofs',
        'registered_names',
        'timings',
        'updater',
        'view',
    )

    def __init__(
        self,
        name: str,
        control_vms: tuple[str, ...],
        timings: MembershipTimings,
        rng: random.Random,
        now: float,
    ) -> None:
        """Create the agent of a VM whose settings name `control_vms`."""
        self.name = name
        self.timings = timings
        self.view = ViewState(_CHANGE_LOG_LENGTH)
        self.proofs = ProofTable(name, timings.lease_s, now)
        self.updater = ViewUpdater(self.view, timings.pull_timeout_s)
        self.registered_names: tuple[str, ...] = ()
        self.leader = ''
        self.diverged_view_count = 0
        self.announced: dict[str, int] = {}
        self._view_server = ViewServer(self.view, timings.snapshot_part_bytes)
        self._control_vms = control_vms
        self._configured_control_vms = control_vms
        self._rng = rng
        self._next_heartbeat_at = 0.0
        self._leader_asked_at = 0.0

    def can_serve(self, now: float) -> bool:
        """Return whether this VM may serve callers from its view."""
        return self.proofs.can_serve(now, self.view.vms)

    def live_vms(self, now: float) -> frozenset[str]:
        """Return the registered VMs whose proof is younger than the lease."""
        return self.proofs.live_vms(now, self.view.vms)

    def tick(self, now: float) -> tuple[Send, ...]:
        """Return the heartbeats and the repeated pull that are due."""
        pull = (*self._pull_announced(now), *self._ask_leader(now))
        if now < self._next_heartbeat_at:
            return pull
        vm_count = len(self.registered_names)
        interval_s = self.timings.heartbeat_interval_s_for(vm_count)
        fanout = self.timings.heartbeat_fanout_for(vm_count)
        if not self.proofs.has_joined:
            interval_s = self.timings.joining_interval_s
        elif now - self.proofs.control_proven_at > self.timings.control_loss_s:
            interval_s = self.timings.heartbeat_interval_s
            fanout = self.timings.control_loss_fanout_for(vm_count)
        self._next_heartbeat_at = now + interval_s
        heartbeat = Heartbeat(sent_at=now, index=self.view.index)
        peers = self._choose_heartbeat_peers(fanout)
        return (*pull, *(Send(peer, heartbeat) for peer in peers))

    def receive(
        self,
        now: float,
        peer: str,
        message: AgentMessage,
    ) -> tuple[Send, ...]:
        """Handle a message of another VM; return the messages to send.

        Raises `msgspec.DecodeError` if its compressed part cannot be decoded.
        """
        match message:
            case Heartbeat():
                if message.is_new_leader:
                    self.leader = peer
                answer = Send(peer, self._create_answer(now, message))
                missing_changes = self._send_missing_changes(now, peer, message)
                return (answer, *missing_changes)
            case HeartbeatAnswer():
                self._handle_answer(peer, message)
                return self._pull_if_behind(now, peer, message)
            case Pull():
                response = self._view_server.serve_pull(message)
                return () if response is None else (Send(peer, response),)
            case _:
                return self._receive_view(now, peer, message)

    def apply_control_view(
        self, control_view: ViewState, fanout: int
    ) -> tuple[Send, ...]:
        """Apply the view of the control replica of this process, if newer.

        Returns the messages that push or announce the new changes to up to
        `fanout` VMs.
        """
        if control_view.index <= self.view.index:
            return ()
        changes = control_view.changes_since(self.view.index)
        if changes is None:
            self.view.apply_view(control_view.view())
            self._update_registered_names()
            return ()
        for change in changes:
            self.view.apply_change(change)
        self._update_registered_names()
        if len(changes) > self.timings.max_pushed_changes:
            # A starting replica replays its log; the other VMs mostly hold
            # these changes and pull what they lack.
            return ()
        return self._push_changes(changes, fanout)

    def record_control_proof(self, proven_at: float, index: int) -> bool:
        """Record that control had no view newer than `index` at `proven_at`.

        Returns False, and records nothing, if this VM lags behind `index`.
        """
        if index > self.view.index:
            return False
        self.proofs.record_control_proof(proven_at)
        return True

    def announce_leadership(self, now: float) -> tuple[Send, ...]:
        """Return the heartbeats that announce this VM as the new leader."""
        self.leader = self.name
        heartbeat = Heartbeat(
            sent_at=now,
            index=self.view.index,
            is_new_leader=True,
        )
        others = (name for name in self.registered_names if name != self.name)
        return tuple(Send(peer, heartbeat) for peer in others)

    def _receive_view(
        self,
        now: float,
        peer: str,
        message: ViewChanges
        | CompressedChanges
        | ViewAnnouncement
        | SnapshotPart,
    ) -> tuple[Send, ...]:
        """Handle a newer view, or the announcement of one."""
        match message:
            case ViewChanges():
                return self._handle_changes(now, peer, message)
            case CompressedChanges():
                changes = msgspec.msgpack.decode(
                    decompress(message.payload), type=ViewChanges
                )
                return self._handle_changes(now, peer, changes)
            case ViewAnnouncement():
                return self._pull_if_behind(now, peer, message)
            case SnapshotPart():
                return self._handle_snapshot_part(now, peer, message)

    def _choose_heartbeat_peers(self, fanout: int) -> tuple[str, ...]:
        """Return some control VMs and `fanout` random VMs, no VM twice."""
        others = [name for name in self.registered_names if name != self.name]
        chosen = self._rng.sample(others, min(fanout, len(others)))
        control = self._choose_control_peers()
        return tuple(dict.fromkeys((*control, *chosen)))

    def _choose_control_peers(self) -> tuple[str, ...]:
        """Return a random control VM and, in a small system, the leader."""
        max_vm_count = self.timings.leader_push_fanout
        known = [name for name in self._control_vms if name != self.name]
        if self.leader in known and len(self.registered_names) <= max_vm_count:
            # A random control VM is asked too, in case the leader has failed.
            known = [self.leader, self._rng.choice(known)]
            return tuple(dict.fromkeys(known))
        return (self._rng.choice(known),) if known else ()

    def _create_answer(
        self, now: float, heartbeat: Heartbeat
    ) -> HeartbeatAnswer:
        return HeartbeatAnswer(
            echoed_sent_at=heartbeat.sent_at,
            index=self.view.index,
            digest=self.view.digest,
            has_joined=self.proofs.has_joined,
            leader=self.leader,
            control_proof_age=self.proofs.control_proof_age(now),
            members_hash=hash_names(self.registered_names),
            proof_ages=self.proofs.proof_ages(now, self.registered_names),
        )

    def _handle_answer(self, peer: str, answer: HeartbeatAnswer) -> None:
        """Record an answer's proofs, unless its sender has a newer view."""
        if answer.index > self.view.index:
            return
        if answer.index == self.view.index:
            self.diverged_view_count += answer.digest != self.view.digest
        if answer.has_joined:
            self.proofs.record_vm_proof(peer, answer.echoed_sent_at)
        if answer.members_hash == hash_names(self.registered_names):
            self.proofs.merge_proofs(
                answer.echoed_sent_at, self.registered_names, answer.proof_ages
            )
        if answer.control_proof_age != UNKNOWN_AGE:
            age_s = answer.control_proof_age * AGE_UNIT_S
            self._merge_control_proof(answer, answer.echoed_sent_at - age_s)

    def _merge_control_proof(
        self,
        answer: HeartbeatAnswer,
        proven_at: float,
    ) -> None:
        """Record a proof of control; store its leader if it is the newest."""
        if proven_at > self.proofs.control_proven_at:
            self.leader = answer.leader or self.leader
        self.proofs.record_control_proof(proven_at)

    def _send_missing_changes(
        self,
        now: float,
        peer: str,
        heartbeat: Heartbeat,
    ) -> tuple[Send, ...]:
        """Push the changes that `peer` lacks, or pull if its view is newer.

        Nothing is pushed if it lacks too many, or a routing document; the
        answer to its heartbeat makes it pull them.
        """
        if heartbeat.index >= self.view.index:
            return self._pull_if_behind(now, peer, heartbeat)
        changes = self.view.changes_since(heartbeat.index)
        if changes is None or len(changes) > self.timings.max_pushed_changes:
            return ()
        if _has_document(changes):
            return ()
        return (Send(peer, ViewChanges(changes=changes)),)

    def _pull_if_behind(
        self,
        now: float,
        peer: str,
        message: Heartbeat | HeartbeatAnswer | ViewAnnouncement,
    ) -> tuple[Send, ...]:
        if message.index <= self.view.index:
            return ()
        self.announced[peer] = message.index
        return self._start_pull(now, peer)

    def _pull_announced(self, now: float) -> tuple[Send, ...]:
        """Pull from a random VM that has a newer view, if one is known."""
        self.announced = {
            peer: index
            for peer, index in self.announced.items()
            if index > self.view.index
        }
        if not self.announced:
            return ()
        return self._start_pull(now, self._rng.choice(list(self.announced)))

    def _ask_leader(self, now: float) -> tuple[Send, ...]:
        """Ask the leader for a proof of control if the last one is too old."""
        limit_s = self.timings.leader_proof_s
        is_recent = now - self.proofs.control_proven_at <= limit_s
        asked_s = now - self._leader_asked_at
        if is_recent or asked_s < limit_s / _LEADER_ASKS:
            return ()
        if self.leader in {'', self.name}:
            return ()
        self._leader_asked_at = now
        heartbeat = Heartbeat(sent_at=now, index=self.view.index)
        return (Send(self.leader, heartbeat),)

    def _start_pull(self, now: float, peer: str) -> tuple[Send, ...]:
        pull = self.updater.start_pull(now, peer)
        return () if pull is None else (Send(peer, pull),)

    def _handle_changes(
        self,
        now: float,
        peer: str,
        message: ViewChanges,
    ) -> tuple[Send, ...]:
        """Apply changes and pass them on; pull those that are missing."""
        before = self.view.index
        has_gap = self.updater.apply_changes(message)
        if has_gap:
            return self._start_pull(now, peer)
        if self.view.index == before:
            return ()
        self._update_registered_names()
        new_changes = tuple(
            change for change in message.changes if change.index > before
        )
        fanout = self.timings.push_fanout_for(len(self.registered_names))
        pushes = self._push_changes(new_changes, fanout, peer)
        return (*self._pull_announced(now), *pushes)

    def _handle_snapshot_part(
        self,
        now: float,
        peer: str,
        message: SnapshotPart,
    ) -> tuple[Send, ...]:
        pull = self.updater.add_snapshot_part(now, peer, message)
        self._update_registered_names()
        if pull is None:
            return self._pull_announced(now)
        return (Send(peer, pull),)

    def _push_changes(
        self,
        changes: tuple[ViewChange, ...],
        fanout: int,
        excluded_peer: str = '',
    ) -> tuple[Send, ...]:
        """Push changes to random VMs; announce those with a document."""
        message: ViewChanges | ViewAnnouncement = ViewChanges(changes=changes)
        if _has_document(changes):
            message = ViewAnnouncement(index=self.view.index)
        excluded = (self.name, excluded_peer)
        others = [
            name for name in self.registered_names if name not in excluded
        ]
        chosen = self._rng.sample(others, min(fanout, len(others)))
        return tuple(Send(peer, message) for peer in chosen)

    def _update_registered_names(self) -> None:
        """Update the registered VMs, their proofs and the control VMs."""
        if self.view.vms.keys() != set(self.registered_names):
            self.registered_names = tuple(sorted(self.view.vms))
            self.proofs.retain_vms(self.registered_names)
        control = tuple(
            vm.name for vm in self.view.vms.values() if vm.operators
        )
        # The control VMs of the settings are retained: until the leader is
        # registered, it is possible that no registered VM has proof of control
        # or knows the leader.
        self._control_vms = tuple(
            dict.fromkeys((*control, *self._configured_control_vms))
        )


def _has_document(changes: tuple[ViewChange, ...]) -> bool:
    """Tell whether one of the changes carries a routing document."""
    return any(change.routes is not None for change in changes)
