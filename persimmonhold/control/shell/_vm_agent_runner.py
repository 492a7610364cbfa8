"""Runs the membership agent of one VM.

Every VM has one, whatever its roles. It sets the registered VMs as peers of
the transport and reports the view of this VM to the control leader. It holds
the record under which the VM is registered.
"""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from typing import Final, final

import msgspec

from persimmonhold.control.machine import ViewState
from persimmonhold.control.shell._control_messages import VmReport
from persimmonhold.membership import (
    AgentMessage,
    MembershipTimings,
    Send,
    VmAgent,
)
from persimmonhold.messages import Demand, VmRecord
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.transport import Channel, Transport

_TICK_INTERVAL_S: Final = 0.1
_INCARNATION_BYTES: Final = 8
_DEMAND_INTERVAL_S: Final = 2.0
_CHANNELS: Final = (Channel.membership, Channel.dissemination)


@final
class VmAgentRunner:
    """Sends and receives messages for the agent, and ticks it.

    `record` is the record under which this VM registers.
    """

    __slots__ = (
        '_control_addresses',
        '_decoder',
        '_listeners',
        '_member_addresses',
        '_next_demand_at',
        '_next_report_at',
        '_transport',
        'agent',
        'clock',
        'demand',
        'local_report_handler',
        'record',
        'timings',
    )

    def __init__(
        self,
        record: VmRecord,
        control_addresses: dict[str, str],
        transport: Transport,
        timings: MembershipTimings | None = None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Create the runner of a VM that knows the initial control VMs.

        `control_addresses` maps their names to `ip:port`. The record gets a
        new incarnation. Tests pass a seeded `rng`, which spreads the reports.
        """
        self.timings = timings or MembershipTimings()
        self.clock = clock
        self.record = msgspec.structs.replace(
            record,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
        )
        self.agent = VmAgent(
            record.name,
            tuple(control_addresses),
            self.timings,
            rng or random.Random(),
            clock(),
        )
        self.demand: tuple[Demand, ...] = ()
        self.local_report_handler: Callable[[VmReport], None] | None = None
        self._control_addresses = control_addresses
        self._member_addresses: dict[str, str] = {}
        self._transport = transport
        self._listeners: list[Callable[[], None]] = []
        self._next_report_at = 0.0
        self._next_demand_at = 0.0
        self._decoder = msgspec.msgpack.Decoder[AgentMessage](AgentMessage)
        transport.set_peers(control_addresses)
        for channel in _CHANNELS:
            transport.set_receiver(channel, self._receive)

    @property
    def can_serve(self) -> bool:
        """Whether this VM may serve callers now."""
        return self.agent.can_serve(self.clock())

    @property
    def is_registered(self) -> bool:
        """Whether the view contains the present record of this VM.

        The view may show it as draining although its own record does not,
        because an operator can drain it.
        """
        record_in_view = self.agent.view.vms.get(self.record.name)
        if record_in_view is None or (
            self.record.draining and not record_in_view.draining
        ):
            return False
        draining = self.record.draining
        return (
            msgspec.structs.replace(record_in_view, draining=draining)
            == self.record
        )

    @property
    def control_vm_names(self) -> tuple[str, ...]:
        """The names of the control VMs; the leader, if known, is first."""
        control = [
            vm.name for vm in self.agent.view.vms.values() if vm.operators
        ]
        leader = (self.agent.leader,) if self.agent.leader else ()
        return tuple(
            dict.fromkeys((*leader, *control, *self._control_addresses))
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Send heartbeats and reports until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_INTERVAL_S)

    def tick(self) -> None:
        """Send the heartbeats and the report of this VM that are due."""
        now = self.clock()
        self._send_messages(self.agent.tick(now))
        if now >= self._next_report_at:
            self._send_report(now)

    def publish_view(self, source: ViewState, fanout: int) -> None:
        """Pass the view of the local control replica to the agent.

        The agent pushes new changes to up to `fanout` VMs.
        """
        previous_index = self.agent.view.index
        self._send_messages(self.agent.apply_control_view(source, fanout))
        self._handle_if_view_changed(previous_index)

    def record_control_proof(self, at: float, index: int) -> None:
        """Record that this VM led at `at` and had no view above `index`."""
        if self.agent.record_control_proof(at, index):
            self.agent.leader = self.record.name

    def announce_leader(self) -> None:
        """Announce this VM as the new leader, to which VMs report."""
        self._send_messages(self.agent.announce_leadership(self.clock()))

    def set_draining(self, *, draining: bool) -> None:
        """Set the draining state in the record to register."""
        self.record = msgspec.structs.replace(self.record, draining=draining)

    def use_member_addresses(self, addresses: dict[str, str]) -> None:
        """Reach the members of the control group, also without a view.

        `addresses` maps their names to `ip:port`.
        """
        self._member_addresses = {
            name: address
            for name, address in addresses.items()
            if name != self.record.name
        }
        self._set_peers()

    def _receive(self, peer: str, payload: bytes) -> None:
        previous_index = self.agent.view.index
        previous_leader = self.agent.leader
        try:
            message = self._decoder.decode(payload)
            sends = self.agent.receive(self.clock(), peer, message)
        except msgspec.DecodeError as error:
            log_event(
                'bad_message', LogLevel.warning, peer=peer, error=str(error)
            )
            return
        self._send_messages(sends)
        self._handle_if_view_changed(previous_index)
        if self.agent.leader != previous_leader:
            self._send_report(self.clock())

    def _send_messages(self, sends: tuple[Send, ...]) -> None:
        encoded: dict[int, bytes] = {}
        for send in sends:
            key = id(send.message)
            if key not in encoded:
                encoded[key] = msgspec.msgpack.encode(send.message)
            self._transport.send(
                send.peer,
                Channel.dissemination,
                encoded[key],
            )

    def _set_peers(self) -> None:
        """Tell the transport all known addresses; those of the view go last."""
        in_view = {
            vm.name: vm.peers
            for vm in self.agent.view.vms.values()
            if vm.peers and vm.name != self.record.name
        }
        self._transport.set_peers({
            **self._control_addresses,
            **self._member_addresses,
            **in_view,
        })

    def _handle_if_view_changed(self, previous_index: int) -> None:
        """If the view changed, set peers, send a report and call listeners."""
        if self.agent.view.index == previous_index:
            return
        self._set_peers()
        self._send_report(self.clock())
        for listener in self._listeners:
            listener()

    def _send_report(self, now: float) -> None:
        """Report the view and, if due, the demand to the leader."""
        vm_count = len(self.agent.registered_names)
        interval_s = self.timings.report_interval_s_for(vm_count)
        self._next_report_at = now + interval_s
        demand = None
        if now >= self._next_demand_at:
            self._next_demand_at = now + max(_DEMAND_INTERVAL_S, interval_s)
            demand = self.demand
        report = VmReport(
            vm=self.record.name,
            incarnation=self.record.incarnation,
            index=self.agent.view.index,
            revision=self.agent.view.catalogue.revision,
            serving=self.agent.can_serve(now),
            demand=demand,
        )
        leader = self.agent.leader
        if leader != self.record.name:
            encoded = msgspec.msgpack.encode(report)
            self._transport.send(leader, Channel.control, encoded)
        elif self.local_report_handler is not None:
            self.local_report_handler(report)
