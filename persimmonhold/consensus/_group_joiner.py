"""Lets an empty replica bootstrap a group or ask to join one.

Invariant: a group is bootstrapped once. Only the initial VM with the lowest
name does so, and only after every other initial VM has told this incarnation
that it holds no log entry. If a replica of an existing group loses its disk,
the others report entries, so it never bootstraps a second group.
"""

from typing import final

import msgspec

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._log_entry import EntryKind, LogEntry
from persimmonhold.consensus._member import Member, ReplicaId, vm_of
from persimmonhold.consensus._messages import Hello, HelloReply


@final
class GroupJoiner:
    """Bootstraps a group or asks to join one, while the log is empty."""

    __slots__ = (
        '_address',
        '_core',
        '_empty_replicas',
        '_highest_term',
        '_initial_addresses',
        'can_bootstrap',
    )

    def __init__(
        self,
        core: Core,
        initial_addresses: dict[str, str],
        address: str,
    ) -> None:
        """Create a joiner that may bootstrap a group.

        `initial_addresses` holds the addresses of the initial VMs by name,
        `address` is that of this replica. While `can_bootstrap` is false,
        this replica only joins a group.
        """
        self.can_bootstrap = True
        self._core = core
        self._initial_addresses = initial_addresses
        self._address = address
        self._empty_replicas = {vm_of(core.replica): core.replica}
        self._highest_term = 0
        core.vm_addresses.update(initial_addresses)

    @property
    def is_log_empty(self) -> bool:
        """Whether this replica holds no log entry."""
        return self._core.log.last_index == 0

    def tick(self, now: float) -> None:
        """Bootstrap the group if possible, else send `Hello` to known VMs."""
        core = self._core
        if self._is_bootstrap_due():
            self._bootstrap_group(now)
            return
        for vm in core.vm_addresses:
            if vm != vm_of(core.replica):
                self._send_hello(vm)

    def on_hello(self, sender: ReplicaId, message: Hello) -> None:
        """Answer the `Hello` of an empty replica, and record its address."""
        core = self._core
        core.vm_addresses[vm_of(sender)] = message.address
        reply = HelloReply(
            term=core.term,
            is_empty=self.is_log_empty,
            members=core.configuration.members,
        )
        core.send_after_sync(sender, reply)

    def on_hello_reply(self, sender: ReplicaId, message: HelloReply) -> None:
        """Record whether the sender is empty, its term and known addresses.

        Ignored once this replica holds log entries.
        """
        if not self.is_log_empty:
            return
        for member in message.members:
            self._core.vm_addresses[member.vm] = member.address
        self._highest_term = max(self._highest_term, message.term)
        if message.is_empty:
            self._empty_replicas[vm_of(sender)] = sender
        else:
            self._empty_replicas.pop(vm_of(sender), None)

    def _send_hello(self, vm: str) -> None:
        core = self._core
        hello = core.build_send(f'{vm}/', Hello(self._address))
        envelope = msgspec.structs.replace(hello.envelope, receiver='')
        core.outbox.send_after_sync(
            msgspec.structs.replace(hello, envelope=envelope)
        )

    def _is_bootstrap_due(self) -> bool:
        if not self.can_bootstrap:
            return False
        own = vm_of(self._core.replica)
        is_first = own == min(self._initial_addresses, default='')
        return (
            is_first
            and self._empty_replicas.keys() >= self._initial_addresses.keys()
        )

    def _bootstrap_group(self, now: float) -> None:
        core = self._core
        members = tuple(
            Member(self._empty_replicas[vm], address)
            for vm, address in sorted(self._initial_addresses.items())
        )
        term = max(self._highest_term, core.term) + 1
        core.change_term(term, '')
        payload = msgspec.msgpack.encode(Configuration(members))
        entries = (LogEntry(1, term, EntryKind.configuration, payload),)
        core.log.append(entries)
        core.log.record_pending_sync(core.outbox.persist(entries=entries))
        core.election_at = now
