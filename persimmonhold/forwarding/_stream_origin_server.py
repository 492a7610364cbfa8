"""Tells entries where streams began, on the VM that leads control."""

from collections.abc import Callable
from typing import final

import msgspec

from persimmonhold.fleet import EntryReport, FleetController
from persimmonhold.observability import log_event
from persimmonhold.streams import (
    StreamOriginReply,
    StreamOriginRequest,
    StreamOrigins,
)
from persimmonhold.transport import Channel, Transport


@final
class StreamOriginServer:
    """Records what entries report of streams, and answers their requests.

    What it knows outlives a term, as versions do not change with the leader.
    """

    __slots__ = ('clock', 'origins', 'transport')

    def __init__(
        self, transport: Transport, clock: Callable[[], float]
    ) -> None:
        """Create a server on a VM with control."""
        self.transport = transport
        self.clock = clock
        self.origins = StreamOrigins()

    def record_report(self, report: EntryReport) -> None:
        """Record the streams and the builds that an entry knows."""
        self.origins.record_reported(
            report.streams, report.builds, self.clock()
        )

    def record_list(self, controller: FleetController) -> None:
        """Record the builds of the upstreams that are listed now."""
        now = self.clock()
        self.origins.builds.record_serving(
            (
                (facts.service, facts.software_version)
                for facts in controller.facts.by_upstream.values()
            ),
            now,
            now,
        )

    def answer_request(self, entry: str, request: StreamOriginRequest) -> None:
        """Send an entry the origin of a stream, or that it is not known."""
        now = self.clock()
        origins = self.origins
        origin = origins.find_origin(request.begun_as, request.service, now)
        log_event(
            'stream_origin_answered',
            entry=entry,
            begun_as=request.begun_as,
            service=request.service,
            build=None if origin is None else origin.build,
            was_reported=origins.streams.find_origin(request.begun_as, now)
            is not None,
            builds_of_late={
                one.build: round(one.age_s, 2)
                for one in origins.builds.build_report(now)
                if one.service == request.service
            },
            observed_for_s=round(origins.builds.find_observed_s(now), 2),
        )
        reply = StreamOriginReply(request_id=request.request_id, origin=origin)
        encoded = msgspec.msgpack.encode(reply)
        self.transport.send(entry, Channel.fleet, encoded)
