"""The process around the agent of one VM.

Every VM has one, with or without control and callers. It keeps the peers of
the transport equal to the registered VMs, reports the view to the leader of
control, and registers the VM until the view shows it.
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
from persimmonhold.transport import Channel, Transport

_TICK_S: Final = 0.1
_INCARNATION_BYTES: Final = 8
_SEED_BITS: Final = 64
_DEMAND_INTERVAL_S: Final = 2.0
_REPORTS_PER_SECOND: Final = 100
_CHANNELS: Final = (Channel.membership, Channel.dissemination)


@final
class VmShell:
    """Sends and receives for the agent; `record` is what is registered."""

    __slots__ = (
        '_control',
        '_decoder',
        '_demand_at',
        '_listeners',
        '_report_at',
        '_transport',
        'agent',
        'clock',
        'demand',
        'record',
        'report_locally',
        'timings',
    )

    def __init__(
        self,
        record: VmRecord,
        control: dict[str, str],
        transport: Transport,
        timings: MembershipTimings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the shell of a VM that knows the first control VMs.

        `control` holds `ip:port` by name. The record gets an incarnation.
        """
        self.timings = timings or MembershipTimings()
        self.clock = clock
        self.record = msgspec.structs.replace(
            record,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
        )
        self.agent = VmAgent(
            record.name,
            tuple(control),
            self.timings,
            random.Random(secrets.randbits(_SEED_BITS)),
            clock(),
        )
        self.demand: tuple[Demand, ...] = ()
        self.report_locally: Callable[[VmReport], None] | None = None
        self._control = control
        self._transport = transport
        self._listeners: list[Callable[[], None]] = []
        self._report_at = 0.0
        self._demand_at = 0.0
        self._decoder = msgspec.msgpack.Decoder[AgentMessage](AgentMessage)
        transport.set_peers(control)
        for channel in _CHANNELS:
            transport.subscribe(channel, self._receive)

    @property
    def serving_allowed(self) -> bool:
        """Tell whether this VM may serve callers now."""
        return self.agent.can_serve(self.clock())

    @property
    def is_registered(self) -> bool:
        """Tell whether the view shows this VM as it is.

        An operator may have it drain although its own record does not.
        """
        shown = self.agent.view.vms.get(self.record.name)
        if shown is None or (self.record.draining and not shown.draining):
            return False
        draining = self.record.draining
        return msgspec.structs.replace(shown, draining=draining) == self.record

    @property
    def control_names(self) -> tuple[str, ...]:
        """The control VMs, the leader first where it is known."""
        control = [
            vm.name for vm in self.agent.view.vms.values() if vm.operators
        ]
        leader = (self.agent.leader,) if self.agent.leader else ()
        return tuple(dict.fromkeys((*leader, *control, *self._control)))

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Send heartbeats and reports until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_S)

    def tick(self) -> None:
        """Send what is due."""
        now = self.clock()
        self._post(self.agent.tick(now))
        if now >= self._report_at:
            self._report(now)

    def feed(self, source: ViewState, fanout: int) -> None:
        """Take over the view of the control replica of this process."""
        before = self.agent.view.index
        self._post(self.agent.apply_control_view(source, fanout))
        self._note_change(before)

    def prove_control(self, at: float, index: int) -> None:
        """Note that this VM leads and had nothing newer at `at`."""
        if self.agent.record_control_proof(at, index):
            self.agent.leader = self.record.name

    def announce_leader(self) -> None:
        """Have every VM report to this one, which has begun to lead."""
        self._post(self.agent.announce_leadership(self.clock()))

    def mark_draining(self, *, draining: bool) -> None:
        """Have this VM registered with another draining state."""
        self.record = msgspec.structs.replace(self.record, draining=draining)

    def _receive(self, peer: str, payload: bytes) -> None:
        try:
            message = self._decoder.decode(payload)
        except msgspec.DecodeError:
            return
        before = self.agent.view.index
        leader = self.agent.leader
        self._post(self.agent.receive(self.clock(), peer, message))
        self._note_change(before)
        if self.agent.leader != leader:
            self._report(self.clock())

    def _post(self, sends: tuple[Send, ...]) -> None:
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

    def _note_change(self, before: int) -> None:
        if self.agent.view.index == before:
            return
        addresses = {
            vm.name: vm.peers
            for vm in self.agent.view.vms.values()
            if vm.peers and vm.name != self.record.name
        }
        self._transport.set_peers({**self._control, **addresses})
        self._report(self.clock())
        for listener in self._listeners:
            listener()

    def _report(self, now: float) -> None:
        """Tell the leader which view this VM holds."""
        vm_count = len(self.agent.registered_names)
        spread_s = vm_count / _REPORTS_PER_SECOND
        interval_s = max(self.timings.heartbeat_interval_s, spread_s)
        self._report_at = now + interval_s
        demand = None
        if now >= self._demand_at:
            self._demand_at = now + max(_DEMAND_INTERVAL_S, interval_s)
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
        elif self.report_locally is not None:
            self.report_locally(report)
