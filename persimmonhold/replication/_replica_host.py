"""Performs the actions of a replica: storage, messages and applying.

Each iteration processes all queued input and persists the result with one
sync. Messages that depend on persisted state are sent only after that sync.
"""

import random
from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.consensus import (
    Action,
    Apply,
    EntryKind,
    Envelope,
    HardState,
    LogEntry,
    Member,
    Persist,
    RaftLog,
    ReadReady,
    ReadsFailed,
    Replica,
    ResetReplica,
    Restore,
    Send,
    Snapshot,
    vm_of,
)
from persimmonhold.failures import Failure
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.replication._log_applier import LogApplier
from persimmonhold.replication._log_writer import LogWriter
from persimmonhold.replication._recover_log import recover_log
from persimmonhold.replication._replica_settings import ReplicaSettings
from persimmonhold.replication._waiters import Waiters
from persimmonhold.storage import LogStore, encode_single_record
from persimmonhold.transport import Channel, Transport

_INCARNATION_BITS: Final = 64


@final
class ReplicaHost:
    """Connects a replica to its store, transport, applier and waiters.

    Any method may raise `OSError` if the disk fails. The host must not be
    used after that, because it is unknown which writes were synced.
    """

    __slots__ = (
        '_applier',
        '_decoder',
        '_empty_state',
        '_encoder',
        '_logged_state',
        '_rng',
        '_settings',
        '_store',
        '_transport',
        'applied_index',
        'replica',
        'waiters',
        'writer',
    )

    def __init__(
        self,
        settings: ReplicaSettings,
        store: LogStore,
        transport: Transport,
        applier: LogApplier,
        rng: random.Random,
    ) -> None:
        """Create a host; `recover` must be called before anything else."""
        self._settings = settings
        self._store = store
        self._transport = transport
        self._applier = applier
        self._rng = rng
        self._empty_state = applier.snapshot()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._logged_state = ('', '', 0)
        self.applied_index = 0
        self.waiters = Waiters()
        self.replica: Replica
        self.writer: LogWriter

    def recover(self, now: float) -> Result[None, Failure]:
        """Recover from the data folder, or start as a new incarnation."""
        recovered = self._store.recover()
        if isinstance(recovered, Failed):
            return recovered
        found = recovered.unwrap()
        log = recover_log(found)
        if isinstance(log, Failed):
            return log
        if found.hard_state:
            state = msgspec.msgpack.decode(found.hard_state, type=HardState)
        else:
            state = self._new_identity()
        self._create_replica(state, log.unwrap(), now)
        return Success(None)

    def receive(self, peer: str, payload: bytes, now: float) -> None:
        """Pass a message to the replica.

        Messages that cannot be decoded, or whose sender is not `peer`, are
        dropped.
        """
        try:
            envelope = self._decoder.decode(payload)
        except msgspec.DecodeError:
            log_event('consensus message dropped', LogLevel.warning, peer=peer)
            return
        if vm_of(envelope.sender) == peer:
            self.replica.receive(envelope, now)

    def perform_actions(self, now: float) -> None:
        """Perform the actions of the replica until none are left."""
        actions = self.replica.take_actions()
        while actions:
            actions = self._handle_reset(actions, now)
            syncs = tuple(one for one in actions if isinstance(one, Persist))
            for action in actions:
                self._perform_action(action)
            if syncs:
                self.writer.write(syncs)
                self.replica.confirm_persisted(syncs[-1].number, now)
            actions = self.replica.take_actions()
        if self.replica.leadership is None:
            self.waiters.complete_transfers()
        self._log_changes()

    def take_snapshot(self) -> Snapshot:
        """Return a snapshot of the applied state."""
        return self.replica.build_snapshot(
            self.applied_index,
            self._applier.snapshot(),
        )

    def encode_snapshot(self, snapshot: Snapshot) -> bytes:
        """Begin a snapshot file and return the content to write to it."""
        self._store.begin_snapshot()
        return encode_single_record(self._encoder.encode(snapshot))

    def write_snapshot_part(self, part: bytes) -> None:
        """Append a part to the snapshot file and sync it."""
        self._store.append_to_snapshot(part)

    def activate_snapshot(self, snapshot: Snapshot) -> None:
        """Activate a fully written snapshot, then compact the log."""
        self._store.finish_snapshot()
        self.replica.compact(snapshot, self._settings.kept_entries)
        self.writer.remove_covered_segments(self.replica.core.log.base_index)

    def _create_replica(
        self, state: HardState, log: RaftLog, now: float
    ) -> None:
        settings = self._settings
        self.writer = LogWriter(self._store, log.last_index)
        self.replica = Replica(
            Member(state.replica, settings.address),
            settings.initial_members,
            state,
            log,
            settings.timings,
            self._rng,
            now,
        )
        self.replica.joining.can_bootstrap = settings.can_bootstrap
        if settings.voters:
            self.replica.target_voters = settings.voters
        # Restoring notifies listeners of the applier, which ask for the leader,
        # so the replica has to exist by then.
        self._restore(log.snapshot)

    def _new_identity(self) -> HardState:
        number = self._rng.getrandbits(_INCARNATION_BITS)
        return HardState(replica=f'{self._settings.name}/{number:016x}')

    def _handle_reset(
        self,
        actions: tuple[Action, ...],
        now: float,
    ) -> tuple[Action, ...]:
        """Perform a pending reset; return the actions left to perform.

        Actions of the discarded incarnation are dropped.
        """
        for action in actions:
            if isinstance(action, ResetReplica):
                self._reset_replica(action, now)
                return self.replica.take_actions()
        return actions

    def _log_changes(self) -> None:
        """Log a change of role, leader or configuration."""
        replica = self.replica
        state = (
            replica.core.role.value,
            replica.leader,
            replica.core.log.configuration_index,
        )
        if state != self._logged_state:
            self._logged_state = state
            log_event(
                'replica changed',
                replica=replica.core.replica,
                role=state[0],
                leader=state[1],
                term=replica.core.term,
                voters=replica.configuration.voters,
            )

    def _perform_action(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case Apply():
                self._apply(action.entries)
            case Restore():
                self.waiters.fail_replaced_proposals(action.snapshot.index)
                self._restore(action.snapshot)
            case ReadReady():
                self.waiters.complete_reads(action.tokens, action.index)
            case ReadsFailed():
                self.waiters.fail_reads(action.tokens)

    def _send(self, action: Send) -> None:
        payload = self._encoder.encode(action.envelope)
        self._transport.send(action.vm, Channel.consensus, payload)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            apply_result: object = None
            if entry.kind is EntryKind.command:
                apply_result = self._applier.apply(entry.index, entry.payload)
            self.applied_index = entry.index
            self.waiters.complete_proposal(
                entry.index, entry.term, apply_result
            )

    def _restore(self, snapshot: Snapshot) -> None:
        state = snapshot.state if snapshot.index else self._empty_state
        self._applier.restore(snapshot.index, state)
        self.applied_index = snapshot.index

    def _reset_replica(self, action: ResetReplica, now: float) -> None:
        log_event(
            'replica starts again as a new incarnation',
            LogLevel.warning,
            replica=self.replica.core.replica,
            reason=action.reason,
        )
        self.waiters.fail_all()
        self._store.remove_all_files()
        self._create_replica(self._new_identity(), RaftLog(Snapshot()), now)
