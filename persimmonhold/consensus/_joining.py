"""How an empty replica founds a group or asks to be taken in.

Invariant: a group is founded once. Only the first of the initial VMs by
name founds it, and only after every other initial VM said, to this very
incarnation, that it holds no entry. A wiped replica of a living group hears
of entries from the others, so it never founds a second one.
"""

from typing import final

import msgspec

from persimmonhold.consensus._configuration import Configuration
from persimmonhold.consensus._core import Core
from persimmonhold.consensus._log_entry import EntryKind, LogEntry
from persimmonhold.consensus._member import Member, ReplicaId, vm_of
from persimmonhold.consensus._messages import Hello, HelloReply


@final
class Joining:
    """The part of a replica that holds no entry yet."""

    __slots__ = (
        '_address',
        '_core',
        '_empty',
        '_initial',
        '_term',
        'can_bootstrap',
    )

    def __init__(
        self,
        core: Core,
        initial: dict[str, str],
        address: str,
    ) -> None:
        """Create the part; `initial` holds the first VMs' addresses.

        Without `can_bootstrap` this replica only ever joins a group.
        """
        self.can_bootstrap = True
        self._core = core
        self._initial = initial
        self._address = address
        self._empty = {vm_of(core.replica): core.replica}
        self._term = 0
        core.vm_addresses.update(initial)

    @property
    def is_log_empty(self) -> bool:
        """Tell whether this replica holds no entry."""
        return self._core.log.last_index == 0

    def tick(self, now: float) -> None:
        """Announce this replica, or found the group."""
        core = self._core
        if self._may_found():
            self._found(now)
            return
        for vm in core.vm_addresses:
            if vm != vm_of(core.replica):
                self._greet(vm)

    def on_hello(self, sender: ReplicaId, message: Hello) -> None:
        """Answer an empty replica."""
        core = self._core
        core.vm_addresses[vm_of(sender)] = message.address
        reply = HelloReply(
            term=core.term,
            is_empty=self.is_log_empty,
            members=core.configuration.members,
        )
        core.send(sender, reply)

    def on_reply(self, sender: ReplicaId, message: HelloReply) -> None:
        """Remember who is empty and whom else to ask."""
        if not self.is_log_empty:
            return
        for member in message.members:
            self._core.vm_addresses[member.vm] = member.address
        self._term = max(self._term, message.term)
        if message.is_empty:
            self._empty[vm_of(sender)] = sender
        else:
            self._empty.pop(vm_of(sender), None)

    def _greet(self, vm: str) -> None:
        core = self._core
        greeting = core.envelope(f'{vm}/', Hello(self._address))
        envelope = msgspec.structs.replace(greeting.envelope, receiver='')
        core.outbox.send(msgspec.structs.replace(greeting, envelope=envelope))

    def _may_found(self) -> bool:
        if not self.can_bootstrap:
            return False
        own = vm_of(self._core.replica)
        is_first = own == min(self._initial, default='')
        return is_first and self._empty.keys() >= self._initial.keys()

    def _found(self, now: float) -> None:
        core = self._core
        members = tuple(
            Member(self._empty[vm], address)
            for vm, address in sorted(self._initial.items())
        )
        term = max(self._term, core.term) + 1
        core.change_term(term, '')
        payload = msgspec.msgpack.encode(Configuration(members))
        entries = (LogEntry(1, term, EntryKind.configuration, payload),)
        core.log.append(entries)
        core.log.note_unsynced(core.outbox.persist(entries=entries))
        core.election_at = now
