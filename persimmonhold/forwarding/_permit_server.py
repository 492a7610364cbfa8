"""Issues the permits for requests to upstreams that have a request limit."""

from collections.abc import Callable
from typing import final

import msgspec

from persimmonhold.control.shell import ControlNode
from persimmonhold.fleet import (
    EntryReport,
    FleetController,
    FleetMessage,
    PermitReply,
    PermitRequest,
    SlotRequest,
    SlotReturn,
)
from persimmonhold.observability import log_event
from persimmonhold.transport import Channel, Transport


@final
class PermitServer:
    """Records what upstreams stated to entries, and answers their requests.

    Permits do not wait for the order lease: the buckets of a new controller
    are empty, and it was elected after the last leader lost its quorum.
    """

    __slots__ = ('clock', 'node', 'transport')

    def __init__(
        self,
        node: ControlNode,
        transport: Transport,
        clock: Callable[[], float],
    ) -> None:
        """Create a server on a VM with control."""
        self.node = node
        self.transport = transport
        self.clock = clock

    def record_statements(
        self, controller: FleetController, entry: str, report: EntryReport
    ) -> bool:
        """Record what upstreams stated to an entry; tell whether it is new."""
        leaving = controller.facts.record_stated_leaving(
            report.leaving, report.leaving_ages_s, self.clock()
        )
        for upstream in leaving:
            log_event(
                'upstream_leaving_reported', entry=entry, upstream=upstream
            )
        changed = controller.facts.limits.record_stated(
            report.limits, self.clock()
        )
        for one in changed:
            log_event(
                'upstream_limit_reported',
                entry=entry,
                upstream=one.upstream,
                limit_per_s=one.per_s,
                age_s=round(one.received_age_s, 2),
            )
        brittle = controller.facts.refusals.record_stated(
            report.brittle, self.clock()
        )
        for bound in brittle:
            log_event(
                'upstream_brittle_reported',
                entry=entry,
                upstream=bound.upstream,
                refusals_per_s=bound.per_s,
                age_s=round(bound.received_age_s, 2),
            )
        controller.facts.slot_leases.reconcile(
            entry,
            {load.upstream: load.running for load in report.loads},
            self.clock(),
        )
        return bool(changed or leaving or brittle)

    def handle_message(
        self,
        controller: FleetController,
        entry: str,
        message: PermitRequest | SlotRequest | SlotReturn,
    ) -> None:
        """Answer a request, or free a slot that an entry returns."""
        if isinstance(message, PermitRequest):
            self.answer_request(controller, entry, message)
        elif isinstance(message, SlotRequest):
            self.assign_slot(controller, entry, message)
        else:
            controller.facts.slot_leases.give_back(entry, message, self.clock())

    def answer_request(
        self,
        controller: FleetController,
        entry: str,
        request: PermitRequest,
    ) -> None:
        """Answer a permit request, unless this VM no longer leads the term."""
        if not self.node.is_leader or self.node.term != controller.term:
            return
        reply = controller.facts.limits.answer_request(request, self.clock())
        self._send(entry, reply)

    def assign_slot(
        self,
        controller: FleetController,
        entry: str,
        request: SlotRequest,
    ) -> None:
        """Answer a slot request, unless this VM no longer leads the term."""
        if not self.node.is_leader or self.node.term != controller.term:
            return
        wait_s = controller.facts.assign_slot(
            entry,
            request,
            controller.demand,
            controller.entry_count,
            self.clock(),
        )
        self._send(
            entry, PermitReply(request_id=request.request_id, wait_s=wait_s)
        )

    def _send(self, entry: str, reply: FleetMessage) -> None:
        encoded = msgspec.msgpack.encode(reply)
        self.transport.send(entry, Channel.fleet, encoded)
