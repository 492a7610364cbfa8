"""Tells entries where streams began, on the VM that leads control."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, final

import msgspec

from persimmonhold.control.shell import ControlNode
from persimmonhold.fleet import EntryReport, ListedUpstream
from persimmonhold.forwarding._begun_stream_log import BegunStreamLog
from persimmonhold.forwarding._build_log import BuildLog
from persimmonhold.observability import log_event
from persimmonhold.streams import (
    StreamOrigin,
    StreamOriginReply,
    StreamOriginRequest,
    StreamOrigins,
)
from persimmonhold.transport import Channel, Transport

# Streams that began shortly before an entry and the leader end are lost.
_RECORD_INTERVAL_S: Final = 0.2
_IDLE_INTERVAL_S: Final = 0.5  # while another VM leads


@final
class StreamOriginServer:
    """Records what entries report of streams, and answers their requests.

    What it knows outlives a term, as versions do not change with the leader.
    """

    __slots__ = ('begun_log', 'build_log', 'clock', 'origins', 'transport')

    def __init__(
        self,
        node: ControlNode,
        transport: Transport,
        clock: Callable[[], float],
    ) -> None:
        """Create a server on a VM with control."""
        self.transport = transport
        self.clock = clock
        self.origins = StreamOrigins()
        self.build_log = BuildLog(node, self.origins.builds)
        self.begun_log = BegunStreamLog(node)

    async def begin_term(self, term: int) -> None:
        """Wait until the record of this VM includes all of earlier terms."""
        await self.build_log.begin_term(term)
        if self.build_log.is_current:
            self.begun_log.begin_term(self.origins.streams, self.clock())

    async def run(self) -> None:
        """Record the streams that entries report, until cancelled."""
        while True:
            interval_s = _IDLE_INTERVAL_S
            if self.build_log.is_current:
                interval_s = _RECORD_INTERVAL_S
                await self.begun_log.commit_due(self.clock())
            await asyncio.sleep(interval_s)

    def record_report(self, report: EntryReport) -> None:
        """Record the streams and the builds that an entry knows."""
        now = self.clock()
        new_streams = self.origins.record_reported(
            report.streams, report.builds, report.observed_s, now
        )
        self.begun_log.planner.add_reported(new_streams, now)

    async def record_list(
        self, listed: Iterable[ListedUpstream]
    ) -> tuple[ListedUpstream, ...] | None:
        """Record the builds of the upstreams that are listed now.

        Returns those that entries may use, or None if that is not known yet.
        """
        listed = tuple(listed)
        now = self.clock()
        self.origins.builds.record_serving(
            ((one.service, one.software_version) for one in listed), now, now
        )
        await self.build_log.record_builds(now)
        return self.build_log.select_recorded(listed)

    def answer_request(self, entry: str, request: StreamOriginRequest) -> None:
        """Send an entry the origin of a stream, or that it is not known.

        An entry gets no reply while this VM cannot tell which is so.
        """
        origin = self._find_origin(request)
        if origin is None and not self.build_log.is_current:
            return
        reply = StreamOriginReply(
            request_id=request.request_id, origin=origin, is_proven=True
        )
        self._log_answer(entry, request, origin)
        encoded = msgspec.msgpack.encode(reply)
        self.transport.send(entry, Channel.fleet, encoded)

    def _find_origin(self, request: StreamOriginRequest) -> StreamOrigin | None:
        record = self.begun_log.record if self.build_log.is_current else None
        return self.origins.find_origin(
            request.begun_as, request.service, record, self.clock()
        )

    def _log_answer(
        self,
        entry: str,
        request: StreamOriginRequest,
        origin: StreamOrigin | None,
    ) -> None:
        """Log what an answer is based on."""
        now = self.clock()
        reported = self.origins.streams.find_origin(request.begun_as, now)
        recorded = self.build_log.find_recorded(request.service)
        log_event(
            'stream_origin_answered',
            entry=entry,
            begun_as=request.begun_as,
            service=request.service,
            build=None if origin is None else origin.build,
            was_reported=reported is not None,
            was_recorded=self.begun_log.record.find_origin(request.begun_as)
            is not None,
            recorded_builds=None if recorded is None else recorded.builds,
            is_complete=recorded is not None and recorded.is_complete,
            builds_of_late={
                one.build: round(one.age_s, 2)
                for one in self.origins.builds.build_report(now)
                if one.service == request.service
            },
            observed_for_s=round(self.origins.builds.find_observed_s(now), 2),
        )
