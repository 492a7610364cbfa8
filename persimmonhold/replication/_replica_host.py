"""Performs the actions of a replica: storage, messages and applying.

Each iteration of the event loop processes all queued input and persists the
result with one sync. Messages that depend on persisted state are sent only
after that sync.
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
from persimmonhold.replication._address_book import AddressBook
from persimmonhold.replication._describe import describe_replica
from persimmonhold.replication._log_applier import LogApplier
from persimmonhold.replication._log_writer import LogWriter
from persimmonhold.replication._recover_log import recover_log
from persimmonhold.replication._replica_settings import ReplicaSettings
from persimmonhold.replication._replica_status import ReplicaStatus
from persimmonhold.replication._stored_entry import decode_entry
from persimmonhold.replication._stored_snapshot import encode_snapshot
from persimmonhold.replication._waiters import Waiters
from persimmonhold.storage import LogStore, encode_single_record
from persimmonhold.transport import Channel, Transport

_INCARNATION_BITS: Final = 64
# Of the bytes between two snapshots.
_MAX_SNAPSHOT_JITTER: Final = 0.75


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
        '_snapshot_jitter',
        '_store',
        '_transport',
        'address_book',
        'applied_index',
        'recovered_bytes',
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
        self._empty_state = applier.encode_state()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._logged_state = ('', '', 0)
        self.address_book = AddressBook()
        self.applied_index = 0
        self.recovered_bytes = 0
        self._snapshot_jitter = _MAX_SNAPSHOT_JITTER * rng.random()
        self.waiters = Waiters()
        self.replica: Replica
        self.writer: LogWriter

    @property
    def uncommitted_bytes(self) -> int:
        """The size of the log entries that are not known to be committed."""
        core = self.replica.core
        return core.log.size_between(core.commit_index + 1, core.log.last_index)

    def recover(self, now: float) -> Result[None, Failure]:
        """Create the replica from the data folder.

        An empty folder starts a new incarnation of the VM. Returns a failure
        if the stored data is damaged.
        """
        recovered = self._store.recover_decoded(decode_entry)
        if isinstance(recovered, Failed):
            return recovered
        found = recovered.unwrap()
        log = recover_log(found)
        if isinstance(log, Failed):
            return log
        if found.hard_state:
            state = msgspec.msgpack.decode(found.hard_state, type=HardState)
        else:
            state = self._generate_identity()
        self.recovered_bytes = self._store.log_bytes + len(found.snapshot)
        segments = found.segments
        if segments and log.unwrap().last_index == log.unwrap().base_index:
            # A snapshot has replaced all entries. If they stayed, the next
            # start would take later entries for replaced ones, too.
            self._store.remove_all_segments()
            segments = ()
        self.writer = LogWriter(self._store, segments)
        self._create_replica(state, log.unwrap(), now)
        self._compact(log.unwrap().snapshot)
        log_event(
            'log_recovered',
            recovered_bytes=self.recovered_bytes,
            log_file_bytes=self._store.log_bytes,
            snapshot_bytes=len(found.snapshot),
            entries=self.replica.core.log.last_index
            - self.replica.core.log.base_index,
        )
        return Success(None)

    def describe(self, now: float) -> ReplicaStatus:
        """Return the status of the replica at `now`."""
        described = describe_replica(self.replica, self.applied_index, now)
        return msgspec.structs.replace(
            described,
            log_file_bytes=self._store.log_bytes,
            recovered_bytes=self.recovered_bytes,
        )

    def receive_message(self, peer: str, payload: bytes, now: float) -> None:
        """Decode a message of the VM `peer` and pass it to the replica.

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
            actions = self._perform_reset(actions, now)
            syncs = tuple(one for one in actions if isinstance(one, Persist))
            for action in actions:
                self._perform_action(action)
            if syncs:
                self.writer.write_batch(syncs)
                self.replica.confirm_persisted(syncs[-1].number, now)
            actions = self.replica.take_actions()
        if self.replica.leadership is None:
            self.waiters.complete_transfers()
        self._log_if_changed()

    def take_snapshot(self) -> Snapshot:
        """Return a snapshot of the applied state, without writing it."""
        return self.replica.build_snapshot(
            self.applied_index,
            self._applier.encode_state(),
        )

    def is_snapshot_due(self) -> bool:
        """Return whether enough was applied since the last snapshot.

        The larger the state, the more has to be applied, up to twice the bound,
        so that snapshots do not outweigh the log. A random part is added, so
        that the replicas do not all wait for their disks at the same entry.
        """
        log = self.replica.core.log
        first = log.snapshot.index + 1
        bound = self._settings.bounds.bytes_per_snapshot
        due_bytes = min(max(bound, len(log.snapshot.state)), 2 * bound)
        due_bytes += int(bound * self._snapshot_jitter)
        return (
            self.applied_index
            >= first + self._settings.entries_per_snapshot - 1
            or log.size_between(first, self.applied_index) >= due_bytes
        )

    def is_outgrown(self, snapshot: Snapshot) -> bool:
        """Return whether the log grows too fast beyond a snapshot."""
        log = self.replica.core.log
        size = log.size_between(snapshot.index + 1, log.last_index)
        return size >= self._settings.bounds.bytes_per_snapshot

    def begin_snapshot(
        self, snapshot: Snapshot, compressed_state: bytes
    ) -> bytes:
        """Begin a snapshot file; return the content to write to it.

        An earlier file that was not finished is discarded.
        """
        self._store.begin_snapshot()
        return encode_single_record(encode_snapshot(snapshot, compressed_state))

    def write_snapshot_part(self, part: bytes) -> None:
        """Append a part of the content to the new snapshot file and sync it."""
        self._store.append_to_snapshot(part)

    def activate_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the stored snapshot by `snapshot`, and compact the log.

        All parts of its file must have been written.
        """
        self._store.finish_snapshot()
        self._compact(snapshot)
        self._snapshot_jitter = _MAX_SNAPSHOT_JITTER * self._rng.random()
        log = self.replica.core.log
        log_event(
            'snapshot_taken',
            index=snapshot.index,
            snapshot_bytes=len(snapshot.state),
            entries=log.last_index - log.base_index,
            log_bytes=log.size_between(log.base_index + 1, log.last_index),
            log_file_bytes=self._store.log_bytes,
        )

    def _compact(self, snapshot: Snapshot) -> None:
        """Drop what a stored snapshot covers beyond the bounds."""
        if not snapshot.index:
            return
        self.replica.compact(
            snapshot,
            self._settings.kept_entries,
            self._settings.bounds.kept_bytes,
        )
        self.writer.remove_covered_segments(self.replica.core.log.base_index)

    def _create_replica(
        self, state: HardState, log: RaftLog, now: float
    ) -> None:
        """Create the replica and restore the applier from its snapshot."""
        settings = self._settings
        self.replica = Replica(
            Member(state.replica, settings.address),
            settings.initial_members,
            state,
            log,
            settings.timings,
            self._rng,
            now,
        )
        self.replica.joiner.can_bootstrap = settings.can_bootstrap
        if settings.voter_count:
            self.replica.target_voters = settings.voter_count
        # Restoring notifies listeners of the applier, which ask for the leader,
        # so the replica has to exist by then.
        self._restore_snapshot(log.snapshot)

    def _generate_identity(self) -> HardState:
        """Return an initial state with a random incarnation of this VM."""
        number = self._rng.getrandbits(_INCARNATION_BITS)
        return HardState(replica=f'{self._settings.name}/{number:016x}')

    def _perform_reset(
        self,
        actions: tuple[Action, ...],
        now: float,
    ) -> tuple[Action, ...]:
        """Reset the replica if an action asks for it.

        Returns the actions to perform: after a reset those of the new
        incarnation, because those of the discarded one are dropped.
        """
        for action in actions:
            if isinstance(action, ResetReplica):
                self._reset_replica(action, now)
                return self.replica.take_actions()
        return actions

    def _log_if_changed(self) -> None:
        """Log the role, leader and voters if one changed since the last log."""
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
                self._apply_entries(action.entries)
            case Restore():
                self.waiters.fail_replaced_proposals(action.snapshot.index)
                self._restore_snapshot(action.snapshot)
            case ReadReady():
                self.waiters.complete_reads(action.tokens, action.index)
            case ReadsFailed():
                self.waiters.fail_reads(action.tokens)

    def _send(self, action: Send) -> None:
        payload = self._encoder.encode(action.envelope)
        self._transport.send(action.vm, Channel.consensus, payload)

    def _apply_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Apply committed entries and complete their proposals."""
        for entry in entries:
            apply_result: object = None
            if entry.kind is EntryKind.command:
                apply_result = self._applier.apply(entry.index, entry.payload)
            self.applied_index = entry.index
            self.waiters.complete_proposal(
                entry.index, entry.term, apply_result
            )

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the applied state by a snapshot; index 0 means empty."""
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
        self.waiters.end_all()
        self._store.remove_all_files()
        self.writer = LogWriter(self._store)
        self._create_replica(
            self._generate_identity(), RaftLog(Snapshot()), now
        )
